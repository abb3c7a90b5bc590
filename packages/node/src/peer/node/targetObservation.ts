/** Tries a target on behalf of another node that is its home. */
import type { ConfigService } from '@parsleymux/config';
import type { IObservation, IObservationRequest, TargetTransport } from '@parsleymux/routing';
import { TransportError } from '@parsleymux/routing';

const FIRST_FAILURE_STATUS = 500;
const MAX_TIMEOUT_MS = 10_000;
/** Methods that an observation may use: trying a target must never be a second execution. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** No answer came over this node's path. */
const NOTHING: IObservation = { succeeded: false, status: 0, latencyMs: 0 };

/** Options of {@link observeTarget}. */
export interface IObserveTargetOptions {
  readonly config: ConfigService;
  readonly transport: TargetTransport;
  /** Largest answer that is read. */
  readonly maxAnswerBytes: number;
}

/**
 * Sends one safe request to a target that the member has declared, and to no other address: a
 * node whose key leaked must not be able to turn the fleet on arbitrary hosts.
 *
 * @example
 * const observation = await observeTarget(options, request, signal);
 */
export async function observeTarget(
  options: IObserveTargetOptions,
  request: IObservationRequest,
  signal: AbortSignal,
): Promise<IObservation> {
  if (!SAFE_METHODS.has(request.method)) return NOTHING;
  const host = findHost(options.config, request);
  if (host === undefined) return NOTHING;
  try {
    const answer = await options.transport.send(
      {
        target: request.target,
        member: request.member,
        method: request.method,
        path: request.path,
        headers: [['host', host]],
        body: new Uint8Array(),
        timeoutMs: Math.min(request.timeoutMs, MAX_TIMEOUT_MS),
      },
      { signal, freshConnection: true, maxResponseBytes: options.maxAnswerBytes },
    );
    const succeeded = answer.status < FIRST_FAILURE_STATUS && !answer.notRun;
    return { succeeded, status: answer.status, latencyMs: answer.latencyMs };
  } catch (error) {
    if (error instanceof TransportError) return NOTHING;
    throw error;
  }
}

/** The host name to send, or undefined when the member declared no such target. */
function findHost(config: ConfigService, request: IObservationRequest): string | undefined {
  const intent = config.getCurrent().members.get(request.member)?.intent;
  const service = intent?.services.find(({ name }) => name === request.service);
  const isDeclared = service?.targets.some(({ address }) => address === request.target);
  if (isDeclared !== true) return undefined;
  const route = intent?.routes.find((candidate) => candidate.service === request.service);
  return route?.host ?? request.target;
}
