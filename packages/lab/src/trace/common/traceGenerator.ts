/** Generates traces from scenarios, members' profiles and a seed. */
import type { RandomSource } from '@parsleymux/base';
import { hashToInteger, SeededRandom } from '@parsleymux/base';
import { sampleServiceTime } from '@parsleymux/standins';
import type { IMemberProfile } from './members.js';
import { computeFloor, computeMeanWork, countSlots, MEMBER_PROFILES } from './members.js';
import type { ITraceScenario, TargetChoice } from './scenarios.js';
import { MAX_SHIFT_MS, SCENARIOS } from './scenarios.js';
import type {
  ITrace,
  ITraceFault,
  ITraceHeader,
  ITraceRequest,
  ITraceTarget,
  ITraceWindow,
} from './trace.js';

const DOMAINS = 3;
const WORK_SIGMA = 0.5;
const BURST_MS = 200;
const BURST_LOSS_SHARE = 0.6;
const DISCONNECT_AFTER_MS = 30;
/** Name of the caller that sends the load above the normal one. */
export const FLOODER = 'flooder';

/** Names of all built-in traces: member and scenario. */
export function listTraceNames(): readonly string[] {
  return MEMBER_PROFILES.flatMap((profile) => {
    return SCENARIOS.map((scenario) => `${profile.member}-${scenario.name}`);
  });
}

/**
 * Generates a built-in trace by name. Throws if no trace has that name.
 *
 * @example
 * const trace = buildTrace('dobrescu-fail-20', 1);
 */
export function buildTrace(name: string, seed: number): ITrace {
  for (const profile of MEMBER_PROFILES) {
    for (const scenario of SCENARIOS) {
      if (`${profile.member}-${scenario.name}` === name) return buildFrom(profile, scenario, seed);
    }
  }
  throw new Error(`trace "${name}" does not exist`);
}

/** Generates a trace of a member and a scenario. */
export function buildFrom(profile: IMemberProfile, template: ITraceScenario, seed: number): ITrace {
  const name = `${profile.member}-${template.name}`;
  const random = new SeededRandom(hashToInteger(name, seed));
  const scenario = resolveShift(template, MAX_SHIFT_MS * random.getFloat());
  const targets = buildTargets(profile);
  return {
    header: buildHeader(profile, scenario, seed, targets),
    requests: buildRequests(profile, scenario, random),
    faults: [...buildFaults(scenario, targets), ...buildLinkFaults(scenario, targets, random)],
  };
}

/** Returns the scenario with its faults and surge shifted later by `shiftMs`. */
function resolveShift(scenario: ITraceScenario, shiftMs: number): ITraceScenario {
  const shift = <T extends ITraceWindow>(part: T): T => ({
    ...part,
    fromMs: toMicroseconds(part.fromMs + shiftMs),
    untilMs: toMicroseconds(part.untilMs + shiftMs),
  });
  return {
    ...scenario,
    faults: scenario.faults.map(shift),
    ...(scenario.surge === undefined ? {} : { surge: shift(scenario.surge) }),
  };
}

function buildTargets(profile: IMemberProfile): readonly ITraceTarget[] {
  return Array.from({ length: profile.targets }, (_, index) => ({
    address: `10.0.${index % DOMAINS}.${index}:8000`,
    failureDomain: `domain-${index % DOMAINS}`,
  }));
}

function buildHeader(
  profile: IMemberProfile,
  scenario: ITraceScenario,
  seed: number,
  targets: readonly ITraceTarget[],
): ITraceHeader {
  const window = findWindow(scenario);
  return {
    kind: 'header',
    name: `${profile.member}-${scenario.name}`,
    member: profile.member,
    seed,
    durationMs: scenario.durationMs,
    service: {
      name: profile.service,
      targets,
      slotsPerTarget: profile.slotsPerTarget,
      floorSlots: computeFloor(profile),
      detection: profile.detection,
    },
    nearMs: profile.nearMs,
    farMs: profile.farMs,
    ...(window === undefined ? {} : { window }),
  };
}

/** Period from the first start to the last end of the scenario's surge or faults. */
function findWindow(scenario: ITraceScenario): ITraceWindow | undefined {
  const parts = scenario.surge === undefined ? scenario.faults : [scenario.surge];
  if (parts.length === 0) return undefined;
  return {
    fromMs: Math.min(...parts.map((part) => part.fromMs)),
    untilMs: Math.max(...parts.map((part) => part.untilMs)),
  };
}

/** Poisson arrivals at the rate that keeps the given share of the slots busy. */
function buildRequests(
  profile: IMemberProfile,
  scenario: ITraceScenario,
  random: RandomSource,
): readonly ITraceRequest[] {
  const requests: ITraceRequest[] = [];
  const fullRate = countSlots(profile) / computeMeanWork(profile);
  let atMs = 0;
  for (;;) {
    const { surge } = scenario;
    const isSurge = surge !== undefined && atMs >= surge.fromMs && atMs < surge.untilMs;
    atMs += random.getExponential(1 / (fullRate * (isSurge ? surge.load : profile.load)));
    if (atMs >= scenario.durationMs) return requests;
    const isFlood = surge?.isOneCaller === true && isSurge;
    const isFlooder = isFlood && random.getFloat() > profile.load / surge.load;
    const caller = isFlooder ? FLOODER : `caller-${random.getInteger(profile.callers)}`;
    requests.push(buildRequest(profile, scenario, random, { atMs, caller }));
  }
}

function buildRequest(
  profile: IMemberProfile,
  scenario: ITraceScenario,
  random: RandomSource,
  arrival: Pick<ITraceRequest, 'atMs' | 'caller'>,
): ITraceRequest {
  const isBook = random.getFloat() < profile.bookShare;
  const meanMs = isBook ? profile.bookWorkMs : profile.readWorkMs;
  const deadlines = scenario.deadlines ?? {
    readMs: profile.readDeadlineMs,
    bookMs: profile.bookDeadlineMs,
  };
  const isEarlyDisconnect = random.getFloat() < (scenario.hangUpShare ?? 0);
  return {
    kind: 'request',
    atMs: toMicroseconds(arrival.atMs),
    caller: arrival.caller,
    route: isBook ? 'book' : 'read',
    workMs: toMicroseconds(sampleServiceTime(random, meanMs, WORK_SIGMA)),
    deadlineMs: isBook ? deadlines.bookMs : deadlines.readMs,
    ...(isEarlyDisconnect ? { hangUpMs: DISCONNECT_AFTER_MS } : {}),
  };
}

function buildFaults(
  scenario: ITraceScenario,
  targets: readonly ITraceTarget[],
): readonly ITraceFault[] {
  return scenario.faults.flatMap((fault) => {
    return pickTargets(fault.pick, targets).map((target) => ({
      kind: 'fault' as const,
      atMs: fault.fromMs,
      untilMs: fault.untilMs,
      target: target.address,
      effect: fault.effect,
      verdict: fault.verdict,
    }));
  });
}

function pickTargets(
  choice: TargetChoice,
  targets: readonly ITraceTarget[],
): readonly ITraceTarget[] {
  if (choice.by === 'count') return targets.slice(0, choice.count);
  if (choice.by === 'share') return targets.slice(0, Math.round(choice.share * targets.length));
  return targets.filter((target) => target.failureDomain === targets[0]?.failureDomain);
}

/** Steady loss on every link, with occasional bursts of loss on single links. */
function buildLinkFaults(
  scenario: ITraceScenario,
  targets: readonly ITraceTarget[],
  random: RandomSource,
): readonly ITraceFault[] {
  const faults: ITraceFault[] = [];
  for (const { address: target } of targets) {
    const common = { kind: 'fault' as const, target, verdict: 'keep' as const };
    if (scenario.lossShare !== undefined) {
      const effect = { lossShare: scenario.lossShare };
      faults.push({ ...common, atMs: 0, untilMs: scenario.durationMs, effect });
    }
    if (scenario.burstEveryMs === undefined) continue;
    let atMs = random.getExponential(scenario.burstEveryMs);
    while (atMs < scenario.durationMs) {
      const effect = { lossShare: BURST_LOSS_SHARE };
      faults.push({
        ...common,
        atMs: toMicroseconds(atMs),
        untilMs: toMicroseconds(atMs + BURST_MS),
        effect,
      });
      atMs += random.getExponential(scenario.burstEveryMs);
    }
  }
  return faults;
}

/** Rounds to microseconds, which keeps trace files small. */
function toMicroseconds(valueMs: number): number {
  return Math.round(1000 * valueMs) / 1000;
}
