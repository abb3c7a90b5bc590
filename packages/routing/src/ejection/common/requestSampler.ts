/**
 * The most recent successful idempotent request of a service. Copies of it are sent to check a
 * connection, to observe a target and to try a target before its return. Requests that must not run
 * twice are never copied.
 */
import type { Header, IRoutedRequest } from '../../request/common/request.js';

/** A request that can be sent again. */
export interface IRequestSample {
  readonly route: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** False for the health endpoint, which is used until a request was recorded. */
  readonly isRealRequest: boolean;
}

const NO_BODY = new Uint8Array();

/** Holds the sample of one service. */
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

  /** Uses the request as the sample if it is idempotent and has no body. */
  record(request: IRoutedRequest): void {
    if (!request.route.idempotent || request.body.length > 0) return;
    this.sample = toSample(request);
  }

  get(): IRequestSample {
    return this.sample;
  }

  /** A request to the health endpoint, which causes no work. */
  getHealthSample(): IRequestSample {
    return this.health;
  }

  /** The request itself if it is idempotent, otherwise the current sample. */
  choose(request: IRoutedRequest): IRequestSample {
    return request.route.idempotent ? toSample(request) : this.sample;
  }
}

function toSample(request: IRoutedRequest): IRequestSample {
  const { method, path, headers, body } = request;
  return { route: request.route.name, method, path, headers, body, isRealRequest: true };
}
