/** The connections of one node to modelled targets. */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { Header, ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport, TransportError, TransportFailure } from '@parsleymux/routing';
import type { FleetObserver } from './fleetObserver.js';
import type { ICrashingRequest } from './scenario.js';
import type { IModelledResponse, ModelledTarget } from './modelledTarget.js';

/** Header that carries the request's identifier. */
export const ID_HEADER = 'x-id';
/** Header that carries how long work on the request takes at a target of usual speed, in ms. */
export const WORK_HEADER = 'x-work-ms';
/** Header that names what the request does to the target that runs it, see {@link ICrashingRequest}. */
export const CRASH_HEADER = 'x-crash';
/** Header that carries the size of the answer, in bytes. */
export const SIZE_HEADER = 'x-answer-bytes';

/** Header that carries when the caller sent the request, in ms of the run. */
export const SENT_HEADER = 'x-sent-ms';

const OK = 200;
const MS_PER_S = 1000;
const CONNECT_MS = 1;
const ONE_WAY_DELAY_MS = 0.5;
/** A kept connection is used again within this time, in ms: targets close idle ones a little later. */
const IDLE_TIMEOUT_MS = 8500;

/** Options of a {@link ModelledTransport}. */
export interface IModelledTransportOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: ReadonlyMap<string, ModelledTarget>;
  readonly observer: FleetObserver;
  /** Names this process of the node, for what targets have told it. */
  readonly node: string;
  readonly crashingRequests: readonly ICrashingRequest[];
  /** Whether a target stands in another failure domain than the node. */
  readonly isInOtherDomain: (target: ModelledTarget) => boolean;
}

/** Counts connections as a node does, and drops them as its pools do. */
export class ModelledTransport extends TargetTransport {
  openedConnections = 0;
  /** Bytes of answers from targets of other failure domains. */
  crossDomainBytes = 0;
  private readonly idle = new Map<string, number[]>();
  private readonly startedMs: number;

  constructor(private readonly options: IModelledTransportOptions) {
    super();
    this.startedMs = options.clock.getMonotonicTime();
  }

  override async send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    const { clock, targets } = this.options;
    const target = targets.get(request.target);
    if (target === undefined) throw new Error(`there is no target ${request.target}`);
    if (target.isDown()) {
      this.idle.delete(request.target);
      throw makeError(TransportFailure.Connect, false);
    }
    if (options.freshConnection === true || !this.takeIdle(request.target)) {
      this.openedConnections += 1;
      await clock.sleep(CONNECT_MS);
    }
    const startMs = clock.getMonotonicTime();
    const { draining, notRun, rateLimit, status, waitMs } = await this.runExchange(
      target,
      request,
      options.signal,
    );
    this.storeIdle(request.target);
    const latencyMs = clock.getMonotonicTime() - startMs;
    const body = new Uint8Array(status === OK ? Number(getHeader(request, SIZE_HEADER)) : 0);
    if (this.options.isInOtherDomain(target)) this.crossDomainBytes += body.byteLength;
    const headers: Header[] =
      waitMs === undefined ? [] : [['retry-after', String(waitMs / MS_PER_S)]];
    return { status, notRun, latencyMs, body, headers, draining, rateLimit };
  }

  override retireConnections(_member: string, target: string): void {
    this.idle.delete(target);
  }

  override hasIdleConnection(_member: string, target: string): boolean {
    const nowMs = this.options.clock.getMonotonicTime();
    return (this.idle.get(target) ?? []).some((atMs) => nowMs - atMs < IDLE_TIMEOUT_MS);
  }

  override getConnectionCount(_member: string, target: string): number {
    return this.idle.get(target)?.length ?? 0;
  }

  private runExchange(
    target: ModelledTarget,
    request: ITargetRequest,
    signal: AbortSignal,
  ): Promise<IModelledResponse> {
    const { clock, crashingRequests, observer, random } = this.options;
    const { startedMs } = this;
    const { node } = this.options;
    const sentMs = Number(getHeader(request, SENT_HEADER));
    const { id: targetId, service } = target.options;
    const workMs = Number(getHeader(request, WORK_HEADER));
    const requestId = getHeader(request, ID_HEADER);
    const crashName = getHeader(request, CRASH_HEADER);
    const crash = crashingRequests.find(({ name }) => name === crashName);
    return new Promise((resolve, reject) => {
      let job: IDisposable | undefined;
      const fail = (failure: TransportFailure): void => {
        void job?.dispose();
        void timeout.dispose();
        signal.removeEventListener('abort', onAbort);
        reject(makeError(failure, true));
      };
      const onAbort = (): void => {
        fail(TransportFailure.Cancelled);
      };
      const timeout = clock.startTimer(request.timeoutMs, () => {
        fail(TransportFailure.Timeout);
      });
      signal.addEventListener('abort', onAbort, { once: true });
      clock.startTimer(ONE_WAY_DELAY_MS, () => {
        if (signal.aborted) return;
        const nowMs = clock.getMonotonicTime();
        observer.recordArrival(service.name, requestId, targetId, nowMs);
        const life = `${targetId}/${target.incarnation}`;
        observer.recordNodeArrival({
          node,
          service: service.name,
          target: life,
          sentMs,
          atMs: nowMs,
          ratePerS: target.getRateLimit(),
        });
        if (crash !== undefined) observer.recordCrashingArrival(crash.name, nowMs, startedMs);
        job = target.accept({
          workMs,
          luck: random.getFloat(),
          crash,
          respond: (answer) => {
            clock.startTimer(ONE_WAY_DELAY_MS, () => {
              void timeout.dispose();
              signal.removeEventListener('abort', onAbort);
              const told = { node, target: life, atMs: clock.getMonotonicTime() };
              if (answer.draining) observer.recordDrainingNotice(told);
              if (answer.waitMs !== undefined) observer.recordWaitNotice(told, answer.waitMs);
              if (answer.rateLimit !== undefined) observer.recordAdvertisedLimit(told);
              resolve(answer);
            });
          },
          onCrash: () => {
            observer.recordCrash(crashName, clock.getMonotonicTime());
          },
          onConnectionLost: () => {
            fail(TransportFailure.Broken);
          },
        });
      });
    });
  }

  private takeIdle(target: string): boolean {
    const nowMs = this.options.clock.getMonotonicTime();
    const fresh = (this.idle.get(target) ?? []).filter((atMs) => nowMs - atMs < IDLE_TIMEOUT_MS);
    const isThere = fresh.pop() !== undefined;
    this.idle.set(target, fresh);
    return isThere;
  }

  private storeIdle(target: string): void {
    const idle = this.idle.get(target) ?? [];
    idle.push(this.options.clock.getMonotonicTime());
    this.idle.set(target, idle);
  }
}

function getHeader({ headers }: ITargetRequest, name: string): string {
  return headers.find(([header]) => header === name)?.[1] ?? '';
}

function makeError(failure: TransportFailure, mayHaveRun: boolean): TransportError {
  return new TransportError({ failure, mayHaveRun, reusedConnection: false });
}
