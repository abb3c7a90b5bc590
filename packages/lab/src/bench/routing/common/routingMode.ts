/** The routing modes compared: through one home, through a home per failure domain, or directly. */
import type { RandomSource } from '@parsleymux/base';
import type { LocalHomeService } from '@parsleymux/routing';

/** Names of the routing modes. */
export const ROUTING_MODES = ['one home', 'home per domain', 'direct'] as const;

export type RoutingMode = (typeof ROUTING_MODES)[number];

/** A home and its location. */
export interface IPlacedHome {
  readonly home: LocalHomeService;
  readonly failureDomain: string;
  /** Total slots of the targets that it schedules. */
  readonly slots: number;
}

/** A node that receives requests from callers. */
export interface IEntry {
  readonly failureDomain: string;
  /** Fraction of its slots that each home last reported as free; negative if requests are queued. */
  readonly spareShares: ReadonlyMap<IPlacedHome, number>;
}

/** The home chosen for a request and the delay to it. */
export interface IHomeChoice {
  readonly placed: IPlacedHome;
  /** One-way delay from entry to home, in ms; 0 if they are the same node. */
  readonly hopMs: number;
}

/** Inputs of the choice. */
export interface IHomeChoiceOptions {
  readonly mode: RoutingMode;
  readonly homes: readonly IPlacedHome[];
  readonly entry: IEntry;
  readonly nearMs: number;
  readonly farMs: number;
  readonly random: RandomSource;
}

/** One-way processing time of a hop between nodes, in addition to the network delay, in ms. */
const HOP_PROCESSING_MS = 0.15;

/** Chooses the home for one request. */
export function chooseHome(options: IHomeChoiceOptions): IHomeChoice {
  const { mode, homes, random } = options;
  const placed =
    mode === 'home per domain' ? chooseBySpareSlots(options) : pickRandom(homes, random);
  if (mode === 'direct') return { placed, hopMs: 0 };
  const isNear = placed.failureDomain === options.entry.failureDomain;
  const networkMs = isNear ? options.nearMs : options.farMs;
  return { placed, hopMs: networkMs + HOP_PROCESSING_MS };
}

/** The home in the entry's domain if it has free slots, else the better of two random homes. */
function chooseBySpareSlots(options: IHomeChoiceOptions): IPlacedHome {
  const { homes, entry, random } = options;
  const getSpareShare = (placed: IPlacedHome) => entry.spareShares.get(placed) ?? 1;
  const local = homes.find((placed) => placed.failureDomain === entry.failureDomain);
  if (local !== undefined && getSpareShare(local) > 0) return local;
  const first = pickRandom(homes, random);
  const second = pickRandom(homes, random);
  return getSpareShare(first) >= getSpareShare(second) ? first : second;
}

function pickRandom(homes: readonly IPlacedHome[], random: RandomSource): IPlacedHome {
  const placed = homes[random.getInteger(homes.length)];
  if (placed === undefined) throw new Error('there is no home');
  return placed;
}
