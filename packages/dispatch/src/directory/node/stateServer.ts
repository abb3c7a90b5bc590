/** Serves whole tables to peers over HTTP, and requests theirs. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { request } from 'undici';
import VError from 'verror';
import type { FollowedTable } from '../common/followedTable.js';
import { TableServer } from '../common/tableServer.js';
import { TableTransport } from '../common/tableTransport.js';

const TABLE_PREFIX = '/tables/';
const OK = 200;
const NOT_FOUND = 404;

/** Handles requests for other paths than tables; returns false, without a response, for an unknown path. */
export type FallbackHandler = (incoming: IncomingMessage, response: ServerResponse) => boolean;

/**
 * Creates an HTTP server for this node's tables.
 *
 * @example
 * const server = createStateServer([directory.catalog, directory.targets]);
 */
export function createStateServer(
  tables: readonly FollowedTable<unknown>[],
  handleFallback: FallbackHandler = () => false,
): Server {
  const tableServer = new TableServer(tables);
  return createServer((incoming, response) => {
    if (handleFallback(incoming, response)) return;
    const bytes = tableServer.encodeTable(incoming.url?.slice(TABLE_PREFIX.length));
    if (bytes === undefined) response.writeHead(NOT_FOUND).end();
    else response.writeHead(OK).end(bytes);
  });
}

/** Requests tables over HTTP. */
export class HttpTableTransport extends TableTransport {
  override async requestTable(
    stateAddress: string,
    table: string,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const url = `http://${stateAddress}${TABLE_PREFIX}${table}`;
    const { statusCode, body } = await request(url, { signal });
    const bytes = await body.bytes();
    if (statusCode !== OK) throw new VError('peer answered %d', statusCode);
    return bytes;
  }
}
