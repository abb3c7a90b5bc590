/** The network between a home and its targets on simulated time. */
import type { Clock, RandomSource } from '@parsleymux/base';
import type { ISendOptions, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport, TransportError, TransportFailure } from '@parsleymux/routing';
import type { IFaultEffect } from '../../trace/common/trace.js';
import type { IWorkResult, SimulatedTarget } from './simulatedTarget.js';

/** Header that carries the recorded work of a replayed request, in ms. */
export const WORK_HEADER = 'x-work-ms';

const CONNECT_MS = 1;
/** Idle connections kept to one target. */
const MAX_IDLE_CONNECTIONS = 8;
const CONNECT_TIMEOUT_MS = 1000;
const HEALTH_WORK_MS = 1;
const OK = 200;
const BODY = new Uint8Array([1]);

/** Options of a {@link SimulatedTransport}. */
export interface ISimulatedTransportOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  /** One-way delay to each target, in ms. */
  readonly delays: ReadonlyMap<string, number>;
  /** False for an observer, whose path to the targets isn't affected by faults of the home's path. */
  readonly isHome: boolean;
  /** Called for each dispatch of a caller's request; not for trial copies and probes. */
  readonly onCallerDispatch?: (target: string, atMs: number) => void;
}

interface IConnection {
  readonly openedAtMs: number;
  readonly isReused: boolean;
}

type Reject = (failure: TransportFailure, mayHaveRun: boolean) => void;

/** Sends to simulated targets. */
export class SimulatedTransport extends TargetTransport {
  attempts = 0;
  private readonly idle = new Map<string, IConnection[]>();
  private readonly open = new Map<string, number>();
  private readonly retiredAtMs = new Map<string, number>();

  constructor(private readonly options: ISimulatedTransportOptions) {
    super();
  }

  override send(request: ITargetRequest, options: ISendOptions): Promise<ITargetResponse> {
    const target = this.options.targets.get(request.target);
    if (target === undefined) throw new Error(`target "${request.target}" does not exist`);
    return this.sendOver(request, options, target);
  }

  override retireConnections(_member: string, target: string): void {
    this.retiredAtMs.set(target, this.getNow());
    const idle = this.idle.get(target)?.length ?? 0;
    this.idle.delete(target);
    this.recordOpenChange(target, -idle);
  }

  override hasIdleConnection(_member: string, target: string): boolean {
    return (this.idle.get(target)?.length ?? 0) > 0;
  }

  override getConnectionCount(_member: string, target: string): number {
    return this.open.get(target) ?? 0;
  }

  private sendOver(
    request: ITargetRequest,
    options: ISendOptions,
    target: SimulatedTarget,
  ): Promise<ITargetResponse> {
    const connection = this.takeConnection(request.target, options.freshConnection === true);
    return new Promise((resolve, reject) => {
      const dropped = new AbortController();
      let isSettled = false;
      const settle = (isKept: boolean) => {
        if (isSettled) return false;
        isSettled = true;
        void timer.dispose();
        options.signal.removeEventListener('abort', onAbort);
        this.putConnection(request.target, connection, isKept);
        if (!isKept) dropped.abort();
        return true;
      };
      let hasDispatched = false;
      const fail: Reject = (failure, mayHaveRun) => {
        if (!settle(false)) return;
        const { isReused } = connection;
        reject(new TransportError({ failure, mayHaveRun, reusedConnection: isReused }));
      };
      const onAbort = () => {
        fail(TransportFailure.Cancelled, hasDispatched);
      };
      const timer = this.options.clock.startTimer(request.timeoutMs, () => {
        fail(TransportFailure.Timeout, hasDispatched);
      });
      options.signal.addEventListener('abort', onAbort, { once: true });
      if (options.signal.aborted) {
        onAbort();
        return;
      }
      void this.openConnection(target, connection, fail).then(async (isConnected) => {
        if (!isConnected || isSettled) return;
        hasDispatched = true;
        options.onDispatch?.();
        const isCallerRequest = options.onDispatch !== undefined;
        if (isCallerRequest) this.options.onCallerDispatch?.(request.target, this.getNow());
        const startMs = this.getNow();
        const response = await this.run(request, target, connection, fail, dropped.signal);
        if (response === undefined || !settle(true)) return;
        resolve({ ...response, latencyMs: this.getNow() - startMs });
      });
    });
  }

  /** Resolves to false if the connection failed; `fail` has then been called. */
  private async openConnection(
    target: SimulatedTarget,
    connection: IConnection,
    fail: Reject,
  ): Promise<boolean> {
    if (connection.isReused) return true;
    const effect = target.getEffect();
    if (this.isPathBlocked(effect)) {
      await this.options.clock.sleep(CONNECT_TIMEOUT_MS);
      fail(TransportFailure.Connect, false);
      return false;
    }
    await this.options.clock.sleep(CONNECT_MS);
    if (effect.isDown !== true) return true;
    fail(TransportFailure.Connect, false);
    return false;
  }

  /** Runs one exchange over the network; undefined if no response arrives. */
  private async run(
    request: ITargetRequest,
    target: SimulatedTarget,
    connection: IConnection,
    fail: Reject,
    signal: AbortSignal,
  ): Promise<Omit<ITargetResponse, 'latencyMs'> | undefined> {
    const { clock, random } = this.options;
    const delayMs = this.options.delays.get(request.target) ?? 0;
    const silenceMs = target.getSilenceStart();
    await clock.sleep(delayMs);
    if (silenceMs !== undefined && connection.openedAtMs < silenceMs) return undefined;
    const effect = target.getEffect();
    if (this.isPathBlocked(effect)) return undefined;
    const lossShare = this.options.isHome ? (effect.lossShare ?? 0) : 0;
    if (effect.isDown === true || random.getFloat() < lossShare) {
      fail(TransportFailure.Broken, true);
      return undefined;
    }
    const work = request.headers.find(([name]) => name === WORK_HEADER)?.[1];
    const result = await this.runWork(target, work, signal);
    await clock.sleep(delayMs);
    const lateEffect = target.getEffect();
    if (lateEffect.isUnreachable === true) return undefined;
    if (lateEffect.isDown === true) {
      fail(TransportFailure.Broken, true);
      return undefined;
    }
    return {
      status: result.status,
      headers: [],
      body: BODY,
      notRun: result.isShed,
      draining: false,
    };
  }

  private async runWork(
    target: SimulatedTarget,
    work: string | undefined,
    signal: AbortSignal,
  ): Promise<IWorkResult> {
    if (work !== undefined) return target.accept(Number(work), signal);
    await this.options.clock.sleep(HEALTH_WORK_MS);
    return { status: OK, isShed: false };
  }

  private isPathBlocked(effect: IFaultEffect): boolean {
    return effect.isUnreachable === true || (this.options.isHome && effect.isCutFromHome === true);
  }

  private takeConnection(target: string, isFresh: boolean): IConnection {
    this.attempts += 1;
    const idle = isFresh ? undefined : this.idle.get(target)?.pop();
    if (idle !== undefined) return { openedAtMs: idle.openedAtMs, isReused: true };
    this.recordOpenChange(target, 1);
    return { openedAtMs: this.getNow(), isReused: false };
  }

  private putConnection(target: string, connection: IConnection, isKept: boolean): void {
    const isRetired = connection.openedAtMs <= (this.retiredAtMs.get(target) ?? -Infinity);
    if (!isKept || isRetired) {
      this.recordOpenChange(target, -1);
      return;
    }
    const idle = this.idle.get(target) ?? [];
    idle.push(connection);
    this.idle.set(target, idle);
    if (idle.length <= MAX_IDLE_CONNECTIONS) return;
    idle.shift();
    this.recordOpenChange(target, -1);
  }

  private recordOpenChange(target: string, change: number): void {
    const open = (this.open.get(target) ?? 0) + change;
    this.open.set(target, open);
    this.options.targets.get(target)?.recordConnectionChange(change);
  }

  private getNow(): number {
    return this.options.clock.getMonotonicTime();
  }
}
