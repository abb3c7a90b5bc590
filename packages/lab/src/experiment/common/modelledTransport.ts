/** Transport of one node to modelled targets, on simulated time. */
import type { Clock, IDisposable, RandomSource } from '@parsleymux/base';
import type { Header, ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport, TransportError, TransportFailure } from '@parsleymux/routing';
import type { FleetObserver } from './fleetObserver.js';
import type { ICrashingRequest } from './scenario.js';
import { PathLoss } from './scenario.js';
import type { IModelledResponse, ModelledTarget } from './modelledTarget.js';

/** Header that carries the request's identifier. */
export const ID_HEADER = 'x-id';
/** Header that carries the work of the request, in ms at a target that isn't slowed. */
export const WORK_HEADER = 'x-work-ms';
/** Header that carries the name of the {@link ICrashingRequest}, if the request is one. */
export const CRASH_HEADER = 'x-crash';
/** Header that carries the size of the response, in bytes. */
export const SIZE_HEADER = 'x-answer-bytes';
/** Header that carries the time at which the caller sent the request, in ms of the run. */
export const SENT_HEADER = 'x-sent-ms';

const OK = 200;
const MS_PER_S = 1000;
const CONNECT_MS = 1;
/** Time after which a connection that hangs has failed, in ms. */
const CONNECT_TIMEOUT_MS = 250;
const ONE_WAY_DELAY_MS = 0.5;
/** Idle connections are reused within this time, in ms; targets close them a little later. */
const IDLE_TIMEOUT_MS = 8500;

/** Options of a {@link ModelledTransport}. */
export interface IModelledTransportOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: ReadonlyMap<string, ModelledTarget>;
  readonly observer: FleetObserver;
  /** Identifies this process of the node in the notices that targets send it. */
  readonly node: string;
  readonly crashingRequests: readonly ICrashingRequest[];
  /** Whether a target is in another failure domain than the node. */
  readonly isInOtherDomain: (target: ModelledTarget) => boolean;
}

/** Sends to modelled targets and models the node's pools of idle connections. */
export class ModelledTransport extends TargetTransport {
  openedConnections = 0;
  /** Size of all responses from targets of other failure domains, in bytes. */
  crossDomainBytes = 0;
  private readonly idle = new Map<string, number[]>();
  private readonly startedMs: number;
  private pathLoss: PathLoss | undefined;
  /** Fails the exchanges that are running. */
  private readonly running = new Set<() => void>();

  constructor(private readonly options: IModelledTransportOptions) {
    super();
    this.startedMs = options.clock.getMonotonicTime();
  }

  override async send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    const { clock, targets } = this.options;
    const target = targets.get(request.target);
    if (target === undefined) throw new Error(`target "${request.target}" does not exist`);
    if (target.isDown()) {
      this.idle.delete(request.target);
      throw makeError(TransportFailure.Connect, false);
    }
    if (options.freshConnection === true || !this.takeIdle(request.target)) {
      if (!(await this.tryConnect(request.target)))
        throw makeError(TransportFailure.Connect, false);
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

  /** Whether the node has lost its path to all targets. */
  get hasLostPath(): boolean {
    return this.pathLoss !== undefined;
  }

  /** Starts a loss of the path to all targets, or ends it if `pathLoss` is undefined. */
  setPathLoss(pathLoss: PathLoss | undefined): void {
    this.pathLoss = pathLoss;
    if (pathLoss !== PathLoss.Reset) return;
    this.idle.clear();
    for (const fail of [...this.running]) fail();
  }

  /** Opens a connection; resolves with whether it succeeded. */
  async tryConnect(targetId: string): Promise<boolean> {
    const { clock, targets } = this.options;
    if (targets.get(targetId)?.isDown() !== false) return false;
    this.openedConnections += 1;
    const { pathLoss } = this;
    await clock.sleep(pathLoss === PathLoss.Silent ? CONNECT_TIMEOUT_MS : CONNECT_MS);
    return pathLoss === undefined;
  }

  retireAllConnections(): void {
    this.idle.clear();
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
        this.running.delete(onReset);
        reject(makeError(failure, true));
      };
      const onReset = (): void => {
        fail(TransportFailure.Broken);
      };
      this.running.add(onReset);
      const onAbort = (): void => {
        fail(TransportFailure.Cancelled);
      };
      const timeout = clock.startTimer(request.timeoutMs, () => {
        fail(TransportFailure.Timeout);
      });
      signal.addEventListener('abort', onAbort, { once: true });
      clock.startTimer(ONE_WAY_DELAY_MS, () => {
        if (signal.aborted || this.pathLoss === PathLoss.Silent) return;
        const nowMs = clock.getMonotonicTime();
        observer.recordArrival(service.name, requestId, targetId, nowMs);
        const incarnation = `${targetId}/${target.incarnation}`;
        observer.recordNodeArrival({
          node,
          service: service.name,
          target: incarnation,
          sentMs,
          atMs: nowMs,
          ratePerS: target.getRateLimit(),
        });
        if (crash !== undefined) observer.recordCrashingArrival(crash.name, nowMs, startedMs);
        job = target.accept({
          workMs,
          draw: random.getFloat(),
          crash,
          respond: (response) => {
            clock.startTimer(ONE_WAY_DELAY_MS, () => {
              if (this.pathLoss === PathLoss.Silent) return;
              this.running.delete(onReset);
              void timeout.dispose();
              signal.removeEventListener('abort', onAbort);
              const pair = { node, target: incarnation, atMs: clock.getMonotonicTime() };
              if (response.draining) observer.recordDrainingNotice(pair);
              if (response.waitMs !== undefined) observer.recordWaitNotice(pair, response.waitMs);
              if (response.rateLimit !== undefined) observer.recordAdvertisedLimit(pair);
              resolve(response);
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
    const hasIdle = fresh.pop() !== undefined;
    this.idle.set(target, fresh);
    return hasIdle;
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
