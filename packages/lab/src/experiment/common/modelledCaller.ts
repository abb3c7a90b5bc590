/** A caller: sends a request, comes back after refusals, and notes how it ended. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IEntryResponse, IRouteRule } from '@parsleymux/dispatch';
import { ANONYMOUS } from '@parsleymux/dispatch';
import type { RunRecorder } from './runRecorder.js';
import { RequestOutcome } from './runRecorder.js';
import type { FleetObserver } from './fleetObserver.js';
import type { ModelledNode } from './modelledNode.js';
import {
  CRASH_HEADER,
  ID_HEADER,
  SENT_HEADER,
  SIZE_HEADER,
  WORK_HEADER,
} from './modelledTransport.js';
import type { IRequestKind } from './scenario.js';

const OK = 200;
const NOT_RUN_STATUSES: readonly number[] = [429, 503];
/** Callers wait as they are told, up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
const MS_PER_S = 1000;

/** What a caller looks at. */
type CallerResponse = Pick<IEntryResponse, 'status' | 'headers'>;

/** No node is up, or the node's process ended while the request was under way. */
const NO_RESPONSE: CallerResponse = { status: 0, headers: [] };

/** Options of {@link sendRequest}. */
export interface ISendRequestOptions {
  readonly kind: IRequestKind;
  readonly id: string;
  /** What is asked for; copies of one thing are the same request. Default: the identifier. */
  readonly content?: string;
  /** Name of a crashing request, if it is one: all of its copies are the same request. */
  readonly crashName?: string;
  readonly workMs: number;
  /** Attempts that the caller makes at once instead of waiting; 0 for one that behaves. */
  readonly immediateAttempts: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Nodes that take requests now. */
  readonly listNodes: () => readonly ModelledNode[];
  readonly ledger: RunRecorder;
  readonly observer: FleetObserver;
}

/** Resolves when the caller has its answer or has given up. */
export async function sendRequest(options: ISendRequestOptions): Promise<void> {
  const { clock, kind, ledger } = options;
  const startMs = clock.getMonotonicTime();
  const endMs = startMs + kind.deadlineMs;
  const tries = Math.max(1 + kind.returns, options.immediateAttempts);
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const sentMs = clock.getMonotonicTime();
    const answer = await runAttempt(options, endMs, attempt);
    const nowMs = clock.getMonotonicTime();
    if (answer.status === OK) {
      const isInTime = nowMs - startMs <= kind.objectiveMs;
      ledger.record(kind, startMs, isInTime ? RequestOutcome.InTime : RequestOutcome.Late);
      return;
    }
    if (isQuarantined(answer) && options.crashName === undefined) ledger.recordQuarantined();
    const isRefused = NOT_RUN_STATUSES.includes(answer.status);
    if (isRefused) ledger.recordRefusal(kind, nowMs - sentMs);
    const isLast = attempt === tries - 1 || nowMs >= endMs;
    const mayTryAgain = isRefused || (kind.isIdempotent && attempt + 1 < options.immediateAttempts);
    if (isLast || !mayTryAgain) {
      ledger.record(kind, startMs, isRefused ? RequestOutcome.Refused : RequestOutcome.Failed);
      return;
    }
    if (attempt + 1 >= options.immediateAttempts) {
      const retryAfterMs = getRetryAfterMs(answer);
      await clock.sleep(Math.min(retryAfterMs, (endMs - nowMs) * MAX_WAIT_SHARE));
    }
  }
}

async function runAttempt(
  options: ISendRequestOptions,
  endMs: number,
  attempt: number,
): Promise<CallerResponse> {
  const { clock, crashName, id, kind, listNodes, observer, random, workMs } = options;
  const { content = id } = options;
  const nodes = listNodes();
  const nowMs = clock.getMonotonicTime();
  observer.recordRequest(kind.service, `${id}.${attempt}`, nowMs);
  const node = nodes[random.getInteger(Math.max(1, nodes.length))];
  if (node === undefined) return NO_RESPONSE;
  const request = {
    id: `${id}.${attempt}`,
    fingerprints: [Buffer.from(crashName ?? content).toString('hex')],
    route: makeRouteRule(kind),
    service: kind.service,
    sender: ANONYMOUS,
    catalogVersion: 0,
    method: 'GET',
    path: '/',
    headers: [
      [ID_HEADER, `${id}.${attempt}`] as const,
      [WORK_HEADER, String(workMs)] as const,
      [SENT_HEADER, String(nowMs)] as const,
      [SIZE_HEADER, String(kind.answerBytes)] as const,
      ...(crashName === undefined ? [] : [[CRASH_HEADER, crashName] as const]),
    ],
    body: new Uint8Array(),
    arrivedMs: nowMs,
    deadlineMs: Math.min(endMs, nowMs + kind.timeoutMs),
  };
  try {
    const answer = await node.runner.run(request, node.endSignal);
    if (answer.status === OK) observer.recordServed(request.id);
    return answer;
  } catch (error) {
    if (node.endSignal.aborted) return NO_RESPONSE;
    throw error;
  }
}

function isQuarantined({ headers }: CallerResponse): boolean {
  const result = headers.find(([name]) => name === 'parsleymux-result')?.[1];
  return result === String(ResultCode.RequestQuarantined);
}

function getRetryAfterMs({ headers }: CallerResponse): number {
  const text = headers.find(([name]) => name === 'retry-after')?.[1];
  return Number(text ?? 0) * MS_PER_S;
}

function makeRouteRule(kind: IRequestKind): IRouteRule {
  return {
    name: kind.name,
    host: '',
    prefix: '/',
    isIdempotent: kind.isIdempotent,
    timeoutMs: kind.timeoutMs,
    objectiveMs: kind.objectiveMs,
    priority: kind.priority,
    maxAttempts: kind.maxAttempts,
    destinations: [{ service: kind.service, weight: 1 }],
  };
}
