/** Records what callers sent and received and what targets ran in one run. */

/** Kinds of requests that the soak's callers send. */
export type SoakRequestKind = 'booking' | 'list' | 'probe' | 'changing' | 'crash';

/** One request of a caller. */
export interface ISoakRequest {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Name of the node that it was sent to. */
  readonly node: string;
  /** Number of the node's process, starting at 1. */
  readonly incarnation: number;
  readonly sentMs: number;
}

/** What the caller received. */
export interface ISoakReply {
  /** Undefined when the connection ended without a complete response. */
  readonly status: number | undefined;
  readonly body: string;
  readonly stamp: string | undefined;
  readonly retryAfter: string | undefined;
  readonly endMs: number;
  /** Whether the caller closed its connection before it had a response. */
  readonly hasDisconnected: boolean;
  /** Whether the node may have closed the connection without having read the request. */
  readonly isUnread: boolean;
}

/** A rate limit that a target advertises for a while. */
export interface IAdvertisedLimit {
  readonly ratePerS: number;
  /** When it began to advertise the limit, in ms of the run. */
  readonly sinceMs: number;
}

/** One arrival of a request at a target. */
export interface ISoakArrival {
  readonly id: string;
  readonly target: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
  /** False when the target rejected the request without running it. */
  readonly hasRun: boolean;
  /** Status of the target's response, even if the response was not sent. */
  readonly status: number;
  /** Whether the response announces that the target is draining. */
  readonly isAnnouncingDrain: boolean;
  /** The limit that the target advertised at the time. */
  readonly limit?: IAdvertisedLimit | undefined;
  /** Start time of the target, in ms of Unix time; differs when it restarts under the same identifier. */
  readonly bornMs: number;
}

/** An arrival with the end of the target's work on it. */
export interface ISoakWork extends ISoakArrival {
  /** Undefined until the target's work has ended; permanently if it hangs. */
  readonly workEndMs: number | undefined;
}

/** A request with its reply and its arrivals at targets. */
export interface ISoakRequestRecord {
  readonly request: ISoakRequest;
  readonly reply: ISoakReply | undefined;
  readonly arrivals: readonly ISoakWork[];
}

/**
 * Collects the records of callers and targets.
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

  /** Records an arrival. Call the result when the target's work on it has ended. */
  recordArrival(arrival: ISoakArrival): (endMs: number) => void {
    const index = this.arrivals.push({ ...arrival, workEndMs: undefined }) - 1;
    return (workEndMs) => {
      this.arrivals[index] = { ...arrival, workEndMs };
    };
  }

  listRequestRecords(): readonly ISoakRequestRecord[] {
    const byId = new Map<string, ISoakWork[]>();
    for (const arrival of this.arrivals) {
      const list = byId.get(arrival.id);
      if (list === undefined) byId.set(arrival.id, [arrival]);
      else list.push(arrival);
    }
    return [...this.requests.values()].map((request) => ({
      request,
      reply: this.replies.get(request.id),
      arrivals: byId.get(request.id) ?? [],
    }));
  }

  /** Lists arrivals of requests that no caller sent. */
  listUnsolicited(): readonly ISoakArrival[] {
    return this.arrivals.filter(({ id }) => !this.requests.has(id));
  }

  listArrivals(): readonly ISoakArrival[] {
    return this.arrivals;
  }
}
