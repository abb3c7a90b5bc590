/** Serves tables to peers over HTTP, and requests theirs. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { request } from 'undici';
import VError from 'verror';
import type { IKnownCopy } from '../common/tableEncoder.js';
import type { ITableServerOptions } from '../common/tableServer.js';
import { TableServer } from '../common/tableServer.js';
import type { ITableRequest } from '../common/tableTransport.js';
import { TableTransport } from '../common/tableTransport.js';
import { encodeCompressed, decodeCompressed, isWorthCompressing } from './tableCompression.js';

const TABLE_PREFIX = '/tables/';
/** Header with what the requesting node has of the table, as JSON. Without it, the whole table is sent. */
const KNOWN_HEADER = 'parsleymux-known';
const COMPRESSION = 'gzip';
const OK = 200;
const NOT_FOUND = 404;

/** Handles requests for other paths than tables; returns false, without a response, for an unknown path. */
export type FallbackHandler = (incoming: IncomingMessage, response: ServerResponse) => boolean;

/**
 * Creates an HTTP server for this node's tables.
 *
 * @example
 * const server = createStateServer({ tables: directory.listTables(), encoder: directory.encoder });
 */
export function createStateServer(
  options: ITableServerOptions,
  handleFallback: FallbackHandler = () => false,
): Server {
  const tableServer = new TableServer(options);
  return createServer((incoming, response) => {
    if (handleFallback(incoming, response)) return;
    const table = incoming.url?.slice(TABLE_PREFIX.length) ?? '';
    const found = tableServer.encodeTable({ table, known: parseKnown(incoming) });
    if (found === undefined) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    const isAccepted = incoming.headers['accept-encoding'] === COMPRESSION;
    if (isAccepted && isWorthCompressing(found)) {
      response.writeHead(OK, { 'content-encoding': COMPRESSION }).end(encodeCompressed(found));
    } else {
      response.writeHead(OK).end(Buffer.concat([found.rows, found.ages]));
    }
  });
}

/** Requests tables over HTTP. */
export class HttpTableTransport extends TableTransport {
  override async requestTable(
    stateAddress: string,
    { known, table }: ITableRequest,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const url = `http://${stateAddress}${TABLE_PREFIX}${table}`;
    const { body, headers, statusCode } = await request(url, {
      signal,
      headers: { [KNOWN_HEADER]: JSON.stringify(known), 'accept-encoding': COMPRESSION },
    });
    const bytes = await body.bytes();
    if (statusCode !== OK) throw new VError('peer answered %d', statusCode);
    return headers['content-encoding'] === COMPRESSION ? decodeCompressed(bytes) : bytes;
  }
}

function parseKnown({ headers }: IncomingMessage): IKnownCopy {
  const text = headers[KNOWN_HEADER];
  if (typeof text !== 'string') return {};
  try {
    return JSON.parse(text) as IKnownCopy;
  } catch {
    return {};
  }
}
