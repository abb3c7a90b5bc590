/** Observes a target on behalf of another node that is its home. */
import type { ConfigService } from '@parsleymux/config';
import type { IObservation, IObservationRequest, TargetTransport } from '@parsleymux/routing';
import { TransportError } from '@parsleymux/routing';

const FIRST_FAILURE_STATUS = 500;
const MAX_TIMEOUT_MS = 10_000;
/** Methods that an observation may use: it must never execute a request a second time. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** The observation when no response was received over this node's path. */
const NO_RESPONSE: IObservation = { succeeded: false, status: 0, latencyMs: 0 };

/** Options of {@link observeTarget}. */
export interface IObserveTargetOptions {
  readonly config: ConfigService;
  readonly transport: TargetTransport;
  /** Maximum size of a response, in bytes. */
  readonly maxResponseBytes: number;
}

/**
 * Sends one safe request to a target that the member has declared, and to no other address: a leaked
 * fleet key must not allow requests from the fleet to arbitrary hosts.
 *
 * @example
 * const observation = await observeTarget(options, request, signal);
 */
export async function observeTarget(
  options: IObserveTargetOptions,
  request: IObservationRequest,
  signal: AbortSignal,
): Promise<IObservation> {
  if (!SAFE_METHODS.has(request.method)) return NO_RESPONSE;
  const host = findHost(options.config, request);
  if (host === undefined) return NO_RESPONSE;
  try {
    const response = await options.transport.send(
      {
        target: request.target,
        member: request.member,
        method: request.method,
        path: request.path,
        headers: [['host', host]],
        body: new Uint8Array(),
        timeoutMs: Math.min(request.timeoutMs, MAX_TIMEOUT_MS),
      },
      { signal, freshConnection: true, maxResponseBytes: options.maxResponseBytes },
    );
    const succeeded = response.status < FIRST_FAILURE_STATUS && !response.notRun;
    return { succeeded, status: response.status, latencyMs: response.latencyMs };
  } catch (error) {
    if (error instanceof TransportError) return NO_RESPONSE;
    throw error;
  }
}

/** Finds the host name to send; undefined when the member declared no such target. */
function findHost(config: ConfigService, request: IObservationRequest): string | undefined {
  const intent = config.getCurrent().members.get(request.member)?.intent;
  const service = intent?.services.find(({ name }) => name === request.service);
  const isDeclared = service?.targets.some(({ address }) => address === request.target);
  if (isDeclared !== true) return undefined;
  const route = intent?.routes.find((candidate) => candidate.service === request.service);
  return route?.host ?? request.target;
}
