/**
 * The newest idempotent request of a service that went well. Copies of it are sent where an answer
 * is wanted that no caller waits for: to check a connection, to observe a target, to try a target
 * before its return. What must not run twice is never copied.
 */
import type { Header, IRoutedRequest } from '../../request/common/request.js';

/** What is needed to send it again. */
export interface IRequestSample {
  readonly route: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** False for the health endpoint, which stands in until a request was seen. */
  readonly isRealRequest: boolean;
}

const NO_BODY = new Uint8Array();

/** Keeps the sample. */
export class RequestSampler {
  private sample: IRequestSample;
  private readonly health: IRequestSample;

  constructor(healthPath: string) {
    this.health = {
      route: '',
      method: 'GET',
      path: healthPath,
      headers: [],
      body: NO_BODY,
      isRealRequest: false,
    };
    this.sample = this.health;
  }

  /** Keeps the request if a copy of it does no harm. */
  record(request: IRoutedRequest): void {
    if (!request.route.idempotent || request.body.length > 0) return;
    this.sample = toSample(request);
  }

  get(): IRequestSample {
    return this.sample;
  }

  /** The health endpoint, which asks for no work. */
  getHealthSample(): IRequestSample {
    return this.health;
  }

  /** The request itself when it may be copied, else the newest that may. */
  choose(request: IRoutedRequest): IRequestSample {
    return request.route.idempotent ? toSample(request) : this.sample;
  }
}

function toSample(request: IRoutedRequest): IRequestSample {
  const { method, path, headers, body } = request;
  return { route: request.route.name, method, path, headers, body, isRealRequest: true };
}
