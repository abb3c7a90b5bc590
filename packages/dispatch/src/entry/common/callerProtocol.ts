/** The deployment-specific request and response headers of callers. */
import type { Header } from '@parsleymux/routing';
import type { Credential } from '../../tenants/common/credential.js';

/** Headers of a request by their lower-case names. */
export type CallerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Reads identifiers, credentials and deadlines from the headers of callers. */
export abstract class CallerProtocol {
  /** The identifier that the caller gave the request; undefined if it gave none. */
  abstract getRequestId(headers: CallerHeaders): string | undefined;

  /** The caller's credentials, such as a key; undefined if it sent none. */
  abstract getCaller(headers: CallerHeaders): string | undefined;

  /** The tenant key that the caller sent, or the reason why there is none. */
  abstract readCredential(headers: readonly Header[]): Credential;

  /** Whether a header is reserved for the entry while requests need keys; `name` in lower case. */
  abstract isPrivate(name: string): boolean;

  /** Headers that identify the tenant of a request to the target. */
  abstract listTenantHeaders(tenant: string): readonly Header[];

  /** How long the caller waits, in ms; undefined if it isn't given, NaN if it is malformed. */
  abstract getTimeoutMs(headers: CallerHeaders): number | undefined;

  /** Headers of responses that the node generates, which identify the request to the caller. */
  abstract listLocalResponseHeaders(headers: CallerHeaders): readonly Header[];
}
