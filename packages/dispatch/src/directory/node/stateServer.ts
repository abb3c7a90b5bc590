/** Serves tables to peers over HTTP, and requests theirs. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { request as requestHttp } from 'undici';
import VError from 'verror';
import type { ITableServerOptions } from '../common/tableServer.js';
import { TableServer } from '../common/tableServer.js';
import type { ITableRequest, ITransferOptions, TableReply } from '../common/tableTransport.js';
import { TableTransport } from '../common/tableTransport.js';
import { decodeCompressed, encodeCompressed, encodePlain } from './tableCompression.js';

const TABLE_PREFIX = '/tables/';
/** Header with the rest of the request as JSON. Without it, the whole table is sent. */
const REQUEST_HEADER = 'parsleymux-table-request';
const COMPRESSION = 'gzip';
const OK = 200;
const PROCESSING = 102;
const REDIRECT = 307;
const NOT_FOUND = 404;

/** Handles requests for other paths than tables; returns false, without a response, for an unknown path. */
export type FallbackHandler = (incoming: IncomingMessage, response: ServerResponse) => boolean;

/**
 * Creates an HTTP server for this node's tables.
 *
 * @example
 * const server = createStateServer({ clock, tables, encoder: directory.encoder });
 */
export function createStateServer(
  options: ITableServerOptions,
  handleFallback: FallbackHandler = () => false,
): Server {
  const tableServer = new TableServer(options);
  return createServer((incoming, response) => {
    if (!handleFallback(incoming, response)) void serveTable(tableServer, incoming, response);
  });
}

async function serveTable(
  tableServer: TableServer,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const closed = new AbortController();
  response.on('close', () => {
    closed.abort(new Error('connection closed'));
  });
  const table = incoming.url?.slice(TABLE_PREFIX.length) ?? '';
  const request = { known: {}, ...parseRequest(incoming), table };
  const isCompressed = incoming.headers['accept-encoding'] === COMPRESSION;
  const result = await tableServer.serve(request, {
    signal: closed.signal,
    compress: isCompressed ? encodeCompressed : encodePlain,
    onDidHold: () => {
      response.writeProcessing();
    },
  });
  switch (result.kind) {
    case 'unavailable':
      response.writeHead(NOT_FOUND).end();
      break;
    case 'redirect':
      response.writeHead(REDIRECT, { location: formatUrl(result.stateAddress, table) }).end();
      break;
    case 'table':
      response.writeHead(OK, isCompressed ? { 'content-encoding': COMPRESSION } : {});
      response.end(result.bytes);
      break;
  }
}

/** Requests tables over HTTP. */
export class HttpTableTransport extends TableTransport {
  override async requestTable(
    stateAddress: string,
    { table, ...fields }: ITableRequest,
    { onDidProgress, signal }: ITransferOptions,
  ): Promise<TableReply> {
    const { body, headers, statusCode } = await requestHttp(formatUrl(stateAddress, table), {
      signal,
      headers: { [REQUEST_HEADER]: JSON.stringify(fields), 'accept-encoding': COMPRESSION },
      onInfo: ({ statusCode: status }) => {
        if (status === PROCESSING) onDidProgress();
      },
    });
    onDidProgress();
    const chunks: Buffer[] = [];
    for await (const chunk of body as AsyncIterable<Buffer>) {
      onDidProgress();
      chunks.push(chunk);
    }
    if (statusCode === REDIRECT && typeof headers.location === 'string') {
      return { kind: 'redirect', stateAddress: new URL(headers.location).host };
    }
    if (statusCode !== OK) throw new VError('peer answered %d', statusCode);
    const bytes = Buffer.concat(chunks);
    const isCompressed = headers['content-encoding'] === COMPRESSION;
    return { kind: 'table', bytes: isCompressed ? decodeCompressed(bytes) : bytes };
  }
}

function formatUrl(stateAddress: string, table: string): string {
  return `http://${stateAddress}${TABLE_PREFIX}${table}`;
}

function parseRequest({ headers }: IncomingMessage): Partial<ITableRequest> {
  const text = headers[REQUEST_HEADER];
  if (typeof text !== 'string') return {};
  try {
    return JSON.parse(text) as Partial<ITableRequest>;
  } catch {
    return {};
  }
}
