/** Opens and closes HTTP servers on addresses from the settings. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { MuxError } from '../../error/common/muxError.js';
import { ResultCode, RunState } from '../../result/common/resultCode.js';

/** An IP address and a port. */
export interface IEndpoint {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address such as "127.0.0.1:80" or "[::1]:80".
 *
 * @example
 * parseEndpoint('127.0.0.1:0').port; // 0
 */
export function parseEndpoint(address: string): IEndpoint {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(split + 1)) };
}

/**
 * Listens on `address` and resolves with the bound address. Port 0 lets the operating system choose.
 *
 * @throws MuxError with code ConnectionFailed when the address cannot be bound.
 *
 * @example
 * const address = await listenOn(server, '127.0.0.1:0'); // '127.0.0.1:40123'
 */
export function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = parseEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', (cause) => {
      const message = `cannot listen on ${address}`;
      reject(
        new MuxError({
          code: ResultCode.ConnectionFailed,
          message,
          runState: RunState.NotRun,
          cause,
        }),
      );
    });
    server.listen(port, host, () => {
      const bound = server.address() as AddressInfo;
      const name = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
      resolve(`${name}:${bound.port}`);
    });
  });
}

/**
 * Stops listening and resolves when every connection has ended.
 *
 * @example
 * await closeServer(server);
 */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}

/**
 * Stops listening and closes all open connections. For ports whose clients hold connections open:
 * waiting for them would delay the shutdown by the whole keep-alive timeout.
 *
 * @example
 * await closeServerImmediately(server);
 */
export async function closeServerImmediately(server: Server): Promise<void> {
  const closed = closeServer(server);
  server.closeAllConnections();
  await closed;
}
