/** Test fixture: burn recorders, mergers and a reader over one in-memory table. */
import { create } from '@bufbuild/protobuf';
import type { Event } from '@parsleymux/base';
import { Emitter, ManualClock, ResultCode, SeededRandom } from '@parsleymux/base';
import type { IFleetConfig, IFleetConfigChange } from '@parsleymux/config';
import { ConfigService } from '@parsleymux/config';
import type { IMemoryPlatform } from '@parsleymux/config/testing';
import { createMemoryPlatform, createTestIntent } from '@parsleymux/config/testing';
import { MemberConfigSchema } from '@parsleymux/schema';
import { BurnMerger } from '../burn/common/burnMerger.js';
import { BurnReader } from '../burn/common/burnReader.js';
import { BurnRecorder } from '../burn/common/burnRecorder.js';

/** 2023-11-14 22:10 UTC, the start of a slot. */
const START_MS = 1_699_999_800_000;

class TwoMemberConfig extends ConfigService {
  override readonly onDidChange: Event<IFleetConfigChange> = new Emitter<IFleetConfigChange>()
    .onDidFire;

  override getCurrent(): IFleetConfig {
    const members = ['dobrescu', 'donautal'].map((member) => {
      const intent = createTestIntent(member);
      return [member, create(MemberConfigSchema, { member, intent })] as const;
    });
    return { fleetRevision: 1, members: new Map(members) };
  }
}

/** Components that share one clock and table. */
export interface IBurnFixture {
  readonly platform: IMemoryPlatform;
  readonly clock: ManualClock;
  readonly reader: BurnReader;
  createRecorder(): BurnRecorder;
  createMerger(): BurnMerger;
  /** Records requests of dobrescu's booking service, the first `failed` of them as failed. */
  record(recorder: BurnRecorder, requests: number, failed?: number): void;
}

/**
 * Creates a reader, and factories of recorders and mergers, over one in-memory table.
 *
 * @example
 * const fixture = createBurnFixture(7);
 */
export function createBurnFixture(seed = 1): IBurnFixture {
  const random = new SeededRandom(seed);
  const platform = createMemoryPlatform(random);
  const clock = new ManualClock({ startMs: START_MS });
  const config = new TwoMemberConfig();
  const shared = { table: platform.table, clock, random, config };
  return {
    platform,
    clock,
    reader: new BurnReader(shared),
    createRecorder: () => new BurnRecorder(shared),
    createMerger: () => new BurnMerger(shared),
    record: (recorder, requests, failed = 0) => {
      for (let index = 0; index < requests; index += 1) {
        const code = index < failed ? ResultCode.TargetTimeout : ResultCode.Ok;
        recorder.record({ member: 'dobrescu', service: 'booking', code, durationMs: 20 });
      }
    },
  };
}
