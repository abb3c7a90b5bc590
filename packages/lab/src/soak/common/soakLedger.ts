/** What callers sent and got, and what targets ran: the outside view of one run. */

/** Kinds of request that the soak's callers send. */
export type SoakRequestKind = 'booking' | 'list' | 'probe' | 'crash';

/** One request of a caller. */
export interface ISoakRequest {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Name of the node that took it. */
  readonly node: string;
  /** Number of the node's process, counted from its first start. */
  readonly incarnation: number;
  readonly sentMs: number;
}

/** What came back. */
export interface ISoakReply {
  /** Undefined when the connection ended without a whole answer. */
  readonly status: number | undefined;
  readonly body: string;
  readonly stamp: string | undefined;
  readonly retryAfter: string | undefined;
  readonly endMs: number;
  /** The caller closed its connection itself. */
  readonly hasDisconnected: boolean;
  /** The node closed the connection without having read the request, as far as a caller can tell. */
  readonly isUnread: boolean;
}

/** A limit of requests that a target names for a while. */
export interface IAdvertisedLimit {
  readonly ratePerS: number;
  /** When it began to name it, in ms of the run. */
  readonly sinceMs: number;
}

/** One arrival at a target. */
export interface ISoakArrival {
  readonly id: string;
  readonly target: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
  /** False when the target refused it. */
  readonly hasRun: boolean;
  /** Status that the target answered with, or would have. */
  readonly status: number;
  /** Whether the answer says that the target leaves. */
  readonly isAnnouncingDrain: boolean;
  /** The limit that the target named then. */
  readonly limit?: IAdvertisedLimit | undefined;
  /** When the target started, in ms of Unix time: it may start again under its identifier. */
  readonly bornMs: number;
}

/** An arrival with the end of its work. */
export interface ISoakWork extends ISoakArrival {
  /** Undefined while the target works on it, for ever if it hangs. */
  readonly workEndMs: number | undefined;
}

/** A request with all that is known of it. */
export interface ISoakRequestRecord {
  readonly request: ISoakRequest;
  readonly reply: ISoakReply | undefined;
  readonly arrivals: readonly ISoakWork[];
}

/**
 * Collects both sides.
 *
 * @example
 * ledger.recordRequest(request);
 * ledger.recordReply(request.id, reply);
 */
export class SoakLedger {
  private readonly requests = new Map<string, ISoakRequest>();
  private readonly replies = new Map<string, ISoakReply>();
  private readonly arrivals: ISoakWork[] = [];

  recordRequest(request: ISoakRequest): void {
    this.requests.set(request.id, request);
  }

  recordReply(id: string, reply: ISoakReply): void {
    this.replies.set(id, reply);
  }

  /** The result is to be called when the target's work on it has ended. */
  recordArrival(arrival: ISoakArrival): (endMs: number) => void {
    const index = this.arrivals.push({ ...arrival, workEndMs: undefined }) - 1;
    return (workEndMs) => {
      this.arrivals[index] = { ...arrival, workEndMs };
    };
  }

  listRequestRecords(): readonly ISoakRequestRecord[] {
    const byId = new Map<string, ISoakWork[]>();
    for (const arrival of this.arrivals) {
      const known = byId.get(arrival.id);
      if (known === undefined) byId.set(arrival.id, [arrival]);
      else known.push(arrival);
    }
    return [...this.requests.values()].map((request) => ({
      request,
      reply: this.replies.get(request.id),
      arrivals: byId.get(request.id) ?? [],
    }));
  }

  /** Arrivals of requests that no caller sent. */
  listUnsolicited(): readonly ISoakArrival[] {
    return this.arrivals.filter(({ id }) => !this.requests.has(id));
  }

  listArrivals(): readonly ISoakArrival[] {
    return this.arrivals;
  }
}
