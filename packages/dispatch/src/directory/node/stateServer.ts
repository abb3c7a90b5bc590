/** Serves whole tables to peers that lack too much for a datagram, and fetches them. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import { request } from 'undici';
import VError from 'verror';
import { decodeChanges, encodeChanges } from '../common/tableMessages.js';
import type { FollowedTable } from '../common/followedTable.js';

const TABLE_PREFIX = '/tables/';
/** Longest wait for a peer, in ms: an in-domain transfer takes a few; the store is the other way. */
const FETCH_TIMEOUT_MS = 500;
const OK = 200;
const NOT_FOUND = 404;

/**
 * A server for this node's tables.
 *
 * @example
 * const server = createStateServer([directory.catalog, directory.targets]);
 */
export function createStateServer(tables: readonly FollowedTable<unknown>[]): Server {
  return createServer((incoming, response) => {
    const name = incoming.url?.slice(TABLE_PREFIX.length);
    const table = tables.find((candidate) => candidate.name === name);
    if (table?.version === undefined) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    const changes = table.listEntries().map(([key, value]) => ({ key, value }));
    const message = encodeChanges(table.name, 0, { version: table.version, changes });
    message.ageMs = Math.max(0, Math.round(table.getAgeMs()));
    response.writeHead(OK).end(toBinary(FollowedChangesSchema, message));
  });
}

/**
 * Replaces a table by the copy of a peer. Rejects when the peer does not answer in time.
 *
 * @example
 * await fetchTable(directory.catalog, '10.1.0.4:7201', clock);
 */
export async function fetchTable(
  table: FollowedTable<unknown>,
  stateAddress: string,
  clock: Clock,
): Promise<void> {
  const { statusCode, body } = await request(`http://${stateAddress}${TABLE_PREFIX}${table.name}`, {
    signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
  });
  const bytes = await body.bytes();
  if (statusCode !== OK) throw new VError('peer answered %d', statusCode);
  const message = fromBinary(FollowedChangesSchema, bytes);
  table.setAll(decodeChanges(message).content, clock.getMonotonicTime() - message.ageMs);
}
