/** Sends one grant request to one home, with retransmission because datagrams may be lost. */
import type { Clock, IDisposable } from '@parsleymux/base';
import type { Decision } from '@parsleymux/schema';
import { DecisionKind } from '@parsleymux/schema';

/**
 * Retransmission timeout in ms: about ten round trips between failure domains of a region, and longer
 * than a busy home takes to process a request.
 */
const RETRANSMIT_MS = 25;
/** Number of transmissions without a response after which the home is considered unresponsive. */
const MAX_SENDS_WITHOUT_RESPONSE = 2;
/** Retransmission interval of a request queued at the home, in ms: its decision may have been lost. */
const QUEUED_RETRANSMIT_MS = 150;

/** Options of a {@link GrantRequestSender}. */
export interface IGrantRequestSenderOptions {
  readonly clock: Clock;
  /** Aborting it ends the request. */
  readonly signal: AbortSignal;
  /** Sends the request; `elapsedMs` is the time since the first transmission. */
  readonly send: (elapsedMs: number) => void;
}

/**
 * Transmits a single request until it is decided; not reusable.
 *
 * @example
 * const decision = await new GrantRequestSender({ clock, signal, send }).run();
 */
export class GrantRequestSender {
  private readonly startMs: number;
  private timer: IDisposable | undefined;
  /** Number of transmissions since the last response. */
  private sendsWithoutResponse = 0;
  private isQueued = false;
  private resolve: (decision: Decision | undefined) => void = () => undefined;

  constructor(private readonly options: IGrantRequestSenderOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  /** Resolves with the final decision, or undefined if the home does not respond or the signal aborts. */
  run(): Promise<Decision | undefined> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      const { signal } = this.options;
      if (signal.aborted) {
        resolve(undefined);
        return;
      }
      signal.addEventListener('abort', this.onAbort, { once: true });
      this.send();
    });
  }

  /** Handles a response of the home. */
  handleDecision(decision: Decision): void {
    if (decision.kind !== DecisionKind.QUEUED) {
      this.finish(decision);
      return;
    }
    this.isQueued = true;
    this.sendsWithoutResponse = 0;
    this.startTimer(QUEUED_RETRANSMIT_MS);
  }

  private send(): void {
    if (this.sendsWithoutResponse >= MAX_SENDS_WITHOUT_RESPONSE) {
      this.finish(undefined);
      return;
    }
    this.sendsWithoutResponse += 1;
    this.options.send(this.options.clock.getMonotonicTime() - this.startMs);
    this.startTimer(this.isQueued ? QUEUED_RETRANSMIT_MS : RETRANSMIT_MS);
  }

  private startTimer(delayMs: number): void {
    void this.timer?.dispose();
    this.timer = this.options.clock.startTimer(delayMs, () => {
      this.send();
    });
  }

  private readonly onAbort = (): void => {
    this.finish(undefined);
  };

  private finish(decision: Decision | undefined): void {
    void this.timer?.dispose();
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.resolve(decision);
  }
}
