/** Fixture for the tests of the transport to targets. */
import type { TestContext } from 'node:test';
import type { ISendOptions, ITargetRequest } from '../common/targetTransport.js';
import type { IHttpTargetTransportOptions } from '../node/httpTargetTransport.js';
import { HttpTargetTransport } from '../node/httpTargetTransport.js';
import type { IRawRequest } from './rawTarget.js';
import { RawTarget } from './rawTarget.js';

export const MAX_RESPONSE_BYTES = 1000;

/** A transport and one target. */
export interface ITransportFixture {
  readonly target: RawTarget;
  readonly transport: HttpTargetTransport;
  send(
    request?: Partial<ITargetRequest>,
    options?: Partial<ISendOptions>,
  ): ReturnType<HttpTargetTransport['send']>;
}

/**
 * Creates the fixture, which is disposed when the test ends. Responses above 1000 bytes are large.
 */
export async function openTransportFixture(
  t: TestContext,
  onRequest: (request: IRawRequest) => void,
  options: IHttpTargetTransportOptions = {},
): Promise<ITransportFixture> {
  const target = await RawTarget.listen(onRequest);
  const transport = new HttpTargetTransport(options);
  t.after(async () => {
    transport.dispose();
    await target.dispose();
  });
  return {
    target,
    transport,
    send: (request, sendOptions) =>
      transport.send(
        {
          target: target.address,
          member: 'm',
          method: 'GET',
          path: '/',
          headers: [],
          body: Buffer.alloc(0),
          timeoutMs: 10_000,
          ...request,
        },
        {
          signal: new AbortController().signal,
          maxResponseBytes: MAX_RESPONSE_BYTES,
          ...sendOptions,
        },
      ),
  };
}
