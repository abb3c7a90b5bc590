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

/** A state of a table that nodes request. */
export interface ITransferredState {
  readonly table: string;
  /** Identifies the state among all states of the table. */
  readonly state: string;
}

/** Nodes that were sent a state of a table. */
interface IReceivers {
  readonly state: string;
  readonly addresses: string[];
}

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
 * const other = spreader.findOther({ table: 'catalog', state: '1/42' }, requester, bytes.length);
 */
export class TransferSpreader {
  private backlogEndMs = 0;
  /** Receivers of the newest state of each table. */
  private readonly receivers = new Map<string, IReceivers>();
  private redirects = 0;

  constructor(private readonly options: ITransferSpreaderOptions) {}

  /** Returns the state address of a node that sends the table instead; undefined if this node has to. */
  findOther(sent: ITransferredState, requester: string, bytes: number): string | undefined {
    const others = this.getReceivers(sent).filter((receiver) => receiver !== requester);
    const nowMs = this.options.clock.getMonotonicTime();
    const isBusy = this.backlogEndMs - nowMs > MAX_BACKLOG_MS;
    if (bytes < MIN_REDIRECTED_BYTES || !isBusy || others.length < MIN_TRANSFERS) return undefined;
    this.redirects += 1;
    return others[this.redirects % others.length];
  }

  /** Records a transfer; `requester` may send the table to others then. */
  recordTransfer(sent: ITransferredState, requester: string | undefined, bytes: number): void {
    const nowMs = this.options.clock.getMonotonicTime();
    const durationMs = bytes / (this.options.bytesPerMs * LINK_SHARE);
    this.backlogEndMs = Math.max(nowMs, this.backlogEndMs) + durationMs;
    if (requester !== undefined) this.getReceivers(sent).push(requester);
  }

  private getReceivers({ state, table }: ITransferredState): string[] {
    const known = this.receivers.get(table);
    if (known?.state === state) return known.addresses;
    const addresses: string[] = [];
    this.receivers.set(table, { state, addresses });
    return addresses;
  }
}
