/** Sends callers' requests to nodes and verifies the responses. */
import type { RunState } from '@parsleymux/base';
import { ResponseFault, computeChecksum, verifyResponse } from '@parsleymux/standins';
import type { IDisposable } from '@parsleymux/base';
import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import { CallerHeader } from '../common/callerHeaders.js';
import type { IAttemptRecord } from '../common/requestRecord.js';
import { AttemptOutcome } from '../common/requestRecord.js';
import type { ICallerRequest } from '../common/workload.js';

const OK = 200;
const CONNECTIONS_PER_NODE = 64;
/** A node responds by the deadline; the attempt times out this long after it, in ms. */
const RESPONSE_MARGIN_MS = 3000;

type AttemptResult = Pick<IAttemptRecord, 'outcome' | 'status' | 'code' | 'runState'>;

/**
 * Sends attempts over keep-alive connections to each node.
 *
 * @example
 * const caller = new Caller();
 * const attempt = await caller.send('127.0.0.1:7001', request);
 * await caller.dispose();
 */
export class Caller implements IDisposable {
  private readonly pools = new Map<string, Pool>();

  async send(node: string, request: ICallerRequest): Promise<IAttemptRecord> {
    const sentAtMs = Date.now();
    const result = await this.request(node, request);
    return { ...result, node, sentAtMs, endedAtMs: Date.now() };
  }

  /** Closes the connections to a node that was removed. */
  async closeNode(node: string): Promise<void> {
    const pool = this.pools.get(node);
    this.pools.delete(node);
    await pool?.destroy();
  }

  async dispose(): Promise<void> {
    await Promise.all([...this.pools.keys()].map((node) => this.closeNode(node)));
  }

  private async request(node: string, request: ICallerRequest): Promise<AttemptResult> {
    const timeout = AbortSignal.timeout(request.workload.timeoutMs + RESPONSE_MARGIN_MS);
    try {
      const response = await this.ensurePool(node).request({
        method: request.workload.method,
        path: request.path,
        headers: makeHeaders(request),
        body: request.workload.method === 'GET' ? null : request.body,
        signal: timeout,
      });
      return decideOutcome(response, await response.body.bytes(), request);
    } catch (error) {
      const outcome = timeout.aborted ? AttemptOutcome.TimedOut : toFailure(error);
      return { outcome, status: 0, code: -1, runState: undefined };
    }
  }

  private ensurePool(node: string): Pool {
    const existing = this.pools.get(node);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${node}`, { connections: CONNECTIONS_PER_NODE });
    this.pools.set(node, pool);
    return pool;
  }
}

function makeHeaders(request: ICallerRequest): Record<string, string> {
  const headers: Record<string, string> = {
    host: request.workload.host,
    [CallerHeader.RequestId]: request.requestId,
    [CallerHeader.TimeoutMs]: String(request.workload.timeoutMs),
  };
  if (request.key !== '') headers[CallerHeader.IdempotencyKey] = request.key;
  return headers;
}

function decideOutcome(
  response: Dispatcher.ResponseData,
  body: Uint8Array,
  request: ICallerRequest,
): AttemptResult {
  const code = Number(getHeader(response, CallerHeader.ResultCode) ?? '-1');
  const runState = getHeader(response, CallerHeader.RunState) as RunState | undefined;
  const status = response.statusCode;
  const { workload, requestId, path } = request;
  const fault = verifyResponse(body, {
    member: workload.member,
    service: workload.service,
    requestId,
    method: workload.method,
    path,
    requestChecksum: computeChecksum(workload.method === 'GET' ? '' : request.body),
  });
  if (status === OK) return { outcome: toOutcome(fault), status, code, runState };
  if (fault === ResponseFault.Foreign) {
    return { outcome: AttemptOutcome.Foreign, status, code, runState };
  }
  if (fault === ResponseFault.None) {
    return { outcome: AttemptOutcome.TargetFailed, status, code, runState };
  }
  const isExplained = code > 0 && runState !== undefined;
  const outcome = isExplained ? AttemptOutcome.Refused : AttemptOutcome.Unexplained;
  return { outcome, status, code, runState };
}

function toFailure(error: unknown): AttemptOutcome {
  const isRefused = (error as { readonly code?: unknown }).code === 'ECONNREFUSED';
  return isRefused ? AttemptOutcome.NotSent : AttemptOutcome.Broken;
}

function toOutcome(fault: ResponseFault): AttemptOutcome {
  if (fault === ResponseFault.None) return AttemptOutcome.Answered;
  return fault === ResponseFault.Foreign ? AttemptOutcome.Foreign : AttemptOutcome.Partial;
}

function getHeader(response: Dispatcher.ResponseData, name: string): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : undefined;
}
