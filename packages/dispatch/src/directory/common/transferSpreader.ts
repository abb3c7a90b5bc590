/** Spreads the transfers of a table over the nodes that already have it. */
import type { Clock } from '@parsleymux/base';

/** Up to this time, in ms, transfers queue on the node's link. */
const MAX_BACKLOG_MS = 200;
/** A node sends a state of a table to at least this many others, however slow its link is. */
const MIN_TRANSFERS = 3;
/** Smaller responses are always sent, in bytes: a redirect would not be faster. */
const MIN_REDIRECTED_BYTES = 8000;
/** Share of the link that transfers may take; the rest is for requests. */
const LINK_SHARE = 0.5;

/** Options of a {@link TransferSpreader}. */
export interface ITransferSpreaderOptions {
  readonly clock: Clock;
  /** Rate of the node's link; Infinity if unknown. */
  readonly bytesPerMs: number;
}

/**
 * Decides whether a node sends a table itself or redirects to a node that it sent the table before. A node
 * with a slow link thereby delegates most transfers, and one with a fast link none.
 *
 * @example
 * const other = spreader.findOther('catalog/1/42', request.requester, bytes.length);
 */
export class TransferSpreader {
  private backlogEndMs = 0;
  private state = '';
  private receivers: string[] = [];
  private redirects = 0;

  constructor(private readonly options: ITransferSpreaderOptions) {}

  /**
   * Returns the state address of a node that sends the table instead; undefined if this node has to. `state`
   * identifies the table and its state.
   */
  findOther(state: string, requester: string, bytes: number): string | undefined {
    this.setState(state);
    const others = this.receivers.filter((receiver) => receiver !== requester);
    const nowMs = this.options.clock.getMonotonicTime();
    const isBusy = this.backlogEndMs - nowMs > MAX_BACKLOG_MS;
    if (bytes < MIN_REDIRECTED_BYTES || !isBusy || others.length < MIN_TRANSFERS) return undefined;
    this.redirects += 1;
    return others[this.redirects % others.length];
  }

  /** Records a transfer; `requester` may send the table to others then. */
  recordTransfer(state: string, requester: string | undefined, bytes: number): void {
    this.setState(state);
    const nowMs = this.options.clock.getMonotonicTime();
    const durationMs = bytes / (this.options.bytesPerMs * LINK_SHARE);
    this.backlogEndMs = Math.max(nowMs, this.backlogEndMs) + durationMs;
    if (requester !== undefined) this.receivers.push(requester);
  }

  private setState(state: string): void {
    if (this.state === state) return;
    this.state = state;
    this.receivers = [];
  }
}
