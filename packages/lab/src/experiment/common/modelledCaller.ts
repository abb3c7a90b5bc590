/** A caller that sends a request, retries it after refusals and records its outcome. */
import type { Clock, RandomSource } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import type { IEntryResponse } from '@parsleymux/dispatch';
import type { IRouteRule } from '@parsleymux/scheduling';
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
/** Callers wait for the time in retry-after, up to this share of their remaining time. */
const MAX_WAIT_SHARE = 1 / 3;
const MS_PER_S = 1000;

/** The parts of a response that a caller reads. */
type CallerResponse = Pick<IEntryResponse, 'status' | 'headers'>;

/** No node is up, or the node's process ended before it responded. */
const NO_RESPONSE: CallerResponse = { status: 0, headers: [] };

/** Options of {@link sendRequest}. */
export interface ISendRequestOptions {
  readonly kind: IRequestKind;
  readonly id: string;
  /** Content of the request; requests with the same content have one fingerprint. Default: the identifier. */
  readonly content?: string;
  /** Name of the crashing request, if it is one; all of its copies have one fingerprint. */
  readonly crashName?: string;
  readonly workMs: number;
  /** Attempts that an abusive caller makes without waiting; 0 for other callers. */
  readonly immediateAttempts: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Nodes that accept requests now. */
  readonly listNodes: () => readonly ModelledNode[];
  readonly recorder: RunRecorder;
  readonly observer: FleetObserver;
}

/** Resolves when the caller has received its final response or has given up. */
export async function sendRequest(options: ISendRequestOptions): Promise<void> {
  const { clock, kind, recorder } = options;
  const startMs = clock.getMonotonicTime();
  const endMs = startMs + kind.deadlineMs;
  const maxAttempts = Math.max(1 + kind.returns, options.immediateAttempts);
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const sentMs = clock.getMonotonicTime();
    const response = await runAttempt(options, endMs, attempt);
    const nowMs = clock.getMonotonicTime();
    if (response.status === OK) {
      const isInTime = nowMs - startMs <= kind.objectiveMs;
      recorder.record(kind, startMs, isInTime ? RequestOutcome.InTime : RequestOutcome.Late);
      return;
    }
    if (isQuarantined(response) && options.crashName === undefined) recorder.recordQuarantined();
    const isRefused = NOT_RUN_STATUSES.includes(response.status);
    if (isRefused) recorder.recordRefusal(kind, nowMs - sentMs);
    const isLast = attempt === maxAttempts - 1 || nowMs >= endMs;
    const canRetry = isRefused || (kind.isIdempotent && attempt + 1 < options.immediateAttempts);
    if (isLast || !canRetry) {
      recorder.record(kind, startMs, isRefused ? RequestOutcome.Refused : RequestOutcome.Failed);
      return;
    }
    if (attempt + 1 >= options.immediateAttempts) {
      const retryAfterMs = getRetryAfterMs(response);
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
    catalogAgeMs: 0,
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
    const isAffected = node.transport.hasLostPath;
    const response = await node.runner.run(request, node.endSignal);
    const isServed = response.status === OK;
    if (isServed) observer.recordServed(request.id);
    if (attempt === 0) observer.pathLoss.recordFirstTry(nowMs, isAffected, isServed);
    return response;
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
