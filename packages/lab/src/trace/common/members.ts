/** Profiles of the two members for whom traces are generated. */
import type { DetectionName } from './trace.js';

/** One service of a member and the load on it. */
export interface IMemberProfile {
  readonly member: string;
  readonly service: string;
  readonly targets: number;
  readonly slotsPerTarget: number;
  readonly detection: DetectionName;
  /** One-way delay to targets within the home's failure domain and in others, in ms. */
  readonly nearMs: number;
  readonly farMs: number;
  /** Share of the slots that is busy under normal load. */
  readonly load: number;
  /** Share of non-idempotent requests. */
  readonly bookShare: number;
  readonly readWorkMs: number;
  readonly bookWorkMs: number;
  readonly readDeadlineMs: number;
  readonly bookDeadlineMs: number;
  readonly callers: number;
}

const FLOOR_SHARE = 0.6;

/** Job booking: few requests, each of high value. */
export const DOBRESCU: IMemberProfile = {
  member: 'dobrescu',
  service: 'job-booking',
  targets: 16,
  slotsPerTarget: 4,
  detection: 'careful',
  nearMs: 0.2,
  farMs: 1,
  load: 0.2,
  bookShare: 0.3,
  readWorkMs: 50,
  bookWorkMs: 80,
  readDeadlineMs: 4000,
  bookDeadlineMs: 8000,
  callers: 40,
};

/** Order booking: a steady load throughout the day. */
export const DONAUTAL: IMemberProfile = {
  member: 'donautal',
  service: 'order-booking',
  targets: 11,
  slotsPerTarget: 3,
  detection: 'fast',
  nearMs: 0.2,
  farMs: 1.5,
  load: 0.5,
  bookShare: 0.3,
  readWorkMs: 50,
  bookWorkMs: 80,
  readDeadlineMs: 2000,
  bookDeadlineMs: 4000,
  callers: 60,
};

export const MEMBER_PROFILES: readonly IMemberProfile[] = [DOBRESCU, DONAUTAL];

/** Total number of slots of the service. */
export function countSlots(profile: IMemberProfile): number {
  return profile.targets * profile.slotsPerTarget;
}

/** Minimum number of slots that ejections leave in use. */
export function computeFloor(profile: IMemberProfile): number {
  return Math.floor(FLOOR_SHARE * countSlots(profile));
}

/** Mean work of one request, in ms. */
export function computeMeanWork(profile: IMemberProfile): number {
  return profile.bookShare * profile.bookWorkMs + (1 - profile.bookShare) * profile.readWorkMs;
}
