/** One question to one home: repeated while no answer comes, for datagrams may be lost. */
import type { Clock, IDisposable } from '@parsleymux/base';
import type { Decision } from '@parsleymux/schema';
import { DecisionKind } from '@parsleymux/schema';

/**
 * A question is repeated when no answer came in this time, in ms: about ten round trips between
 * failure domains of a region, and more than a busy home needs to get to it.
 */
const RETRANSMIT_MS = 25;
/** Times that a question is sent without any answer before its home counts as silent. */
const MAX_UNANSWERED_SENDS = 2;
/** A question that waits in the home's queue is repeated this often, in ms: its decision may be lost. */
const QUEUED_RETRANSMIT_MS = 150;

/** Options of a {@link GrantRequestSender}. */
export interface IGrantRequestSenderOptions {
  readonly clock: Clock;
  /** Aborting it ends the question. */
  readonly signal: AbortSignal;
  /** Sends the question; `elapsedMs` have passed since it was asked first. */
  readonly send: (elapsedMs: number) => void;
}

/**
 * Runs once.
 *
 * @example
 * const decision = await new HomeQuestion({ clock, signal, send }).run();
 */
export class GrantRequestSender {
  private readonly startMs: number;
  private timer: IDisposable | undefined;
  /** Sends since the home was last heard. */
  private unansweredSends = 0;
  private isQueued = false;
  private resolve: (decision: Decision | undefined) => void = () => undefined;

  constructor(private readonly options: IGrantRequestSenderOptions) {
    this.startMs = options.clock.getMonotonicTime();
  }

  /** The final decision; undefined when the home stays silent or the signal aborts. */
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

  /** Takes an answer of the home. */
  handleDecision(decision: Decision): void {
    if (decision.kind !== DecisionKind.QUEUED) {
      this.finish(decision);
      return;
    }
    this.isQueued = true;
    this.unansweredSends = 0;
    this.startTimer(QUEUED_RETRANSMIT_MS);
  }

  private send(): void {
    if (this.unansweredSends >= MAX_UNANSWERED_SENDS) {
      this.finish(undefined);
      return;
    }
    this.unansweredSends += 1;
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
