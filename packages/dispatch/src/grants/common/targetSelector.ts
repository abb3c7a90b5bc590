/** The interface through which an entry obtains a target for a request. */
import type {
  ITargetRecord,
  GrantDecision,
  GrantOutcome,
  IGrantRequest,
  IReportedResponse,
} from '@parsleymux/scheduling';

/** Permission to send one request to a target, valid until its outcome is reported. */
export interface IGrant {
  readonly target: ITargetRecord;
  /** Node that made the decision, for logs. */
  readonly home: string;
  readonly suspicion: number;
  /** Whether a new connection must be used, because idle ones of the service broke on reuse recently. */
  readonly needsFreshConnection: boolean;
  /** Reports the outcome to the home; must be called exactly once. */
  report(outcome: GrantOutcome, latencyMs: number, response?: IReportedResponse): void;
}

/** The result of a selection. */
export type Selection =
  | { readonly kind: 'granted'; readonly grant: IGrant }
  | (Extract<GrantDecision, { kind: 'refused' }> & { readonly home: string });

/** Selects targets for requests. */
export abstract class TargetSelector {
  /** Resolves with a grant or a refusal; the promise rejects only if `signal` aborts. */
  abstract choose(request: IGrantRequest, signal: AbortSignal): Promise<Selection>;
}
