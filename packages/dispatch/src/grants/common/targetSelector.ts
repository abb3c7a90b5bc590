/** How an entry gets a target for a request: varies with who decides. */
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { GrantDecision, GrantOutcome, IGrantRequest, IReportedResponse } from './grant.js';

/** A target that may be sent one request, until its outcome is reported. */
export interface IGrant {
  readonly target: ITargetRecord;
  /** Node that decided, for logs. */
  readonly home: string;
  readonly suspicion: number;
  /** Whether a kept connection must not be used: those of the service break lately. */
  readonly needsFreshConnection: boolean;
  /** Tells the home how it went; to be called exactly once. */
  report(outcome: GrantOutcome, latencyMs: number, answer?: IReportedResponse): void;
}

/** What an entry gets. */
export type Selection =
  | { readonly kind: 'granted'; readonly grant: IGrant }
  | (Extract<GrantDecision, { kind: 'refused' }> & { readonly home: string });

/** Gets targets for requests. */
export abstract class TargetSelector {
  /** Resolves with a grant or a refusal; rejects only when `signal` aborts. */
  abstract choose(request: IGrantRequest, signal: AbortSignal): Promise<Selection>;
}
