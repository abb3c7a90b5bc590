/** Serves whole tables to peers that lack more changes than fit into a datagram, and fetches them. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import { computeEarlierInstant, readInstant } from '@parsleymux/base';
import { FollowedChangesSchema } from '@parsleymux/schema';
import { request } from 'undici';
import VError from 'verror';
import { decodeChanges, encodeAges, encodeChanges } from '../common/tableMessages.js';
import type { FollowedTable } from '../common/followedTable.js';

const TABLE_PREFIX = '/tables/';
/**
 * Timeout of a fetch, in ms. When a fleet starts, sixty nodes fetch tables of 70 KB from one node, which
 * takes 1.7 s on a link of 20 Mbit/s. With a shorter timeout and retries, most fetches would fail.
 */
const FETCH_TIMEOUT_MS = 2000;
const OK = 200;
const NOT_FOUND = 404;

interface IEncodedTable {
  readonly era: number;
  readonly isRetained: boolean;
  readonly version: number;
  readonly bytes: Uint8Array;
}

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
  const encoded = new Map<string, IEncodedTable>();
  return createServer((incoming, response) => {
    if (handleFallback(incoming, response)) return;
    const name = incoming.url?.slice(TABLE_PREFIX.length);
    const table = tables.find((candidate) => candidate.name === name);
    if (table?.version === undefined) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    const ages = create(FollowedChangesSchema, encodeAges(table));
    const age = toBinary(FollowedChangesSchema, ages);
    response.writeHead(OK);
    // Concatenated protobuf messages are parsed as one message with the fields of both.
    response.write(encodeRows(table, encoded));
    response.end(age);
  });
}

/** Encodes all rows of a table, once for all peers that request the same version. */
function encodeRows(
  table: FollowedTable<unknown>,
  encoded: Map<string, IEncodedTable>,
): Uint8Array {
  const version = table.version ?? 0;
  const { era, isRetaining: isRetained } = table;
  const known = encoded.get(table.name);
  const isSame = known?.era === era && known.isRetained === isRetained;
  if (isSame && known.version === version) return known.bytes;
  const changes = table
    .listEntries()
    .map(([key, value]) => ({ key, value, isMissing: table.isMissing(key) }));
  const message = encodeChanges(table.name, 0, { era, isRetained, version, changes });
  const bytes = toBinary(FollowedChangesSchema, message);
  encoded.set(table.name, { era, isRetained, version, bytes });
  return bytes;
}

/**
 * Replaces the content of a table by the copy of a peer. Rejects if the peer doesn't respond in time.
 *
 * @example
 * await fetchTable(directory.catalog, '10.1.0.4:7201', clock);
 */
export async function fetchTable(
  table: FollowedTable<unknown>,
  stateAddress: string,
  clock: Clock,
): Promise<void> {
  const sentAt = readInstant(clock);
  const { statusCode, body } = await request(`http://${stateAddress}${TABLE_PREFIX}${table.name}`, {
    signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
  });
  const bytes = await body.bytes();
  if (statusCode !== OK) throw new VError('peer answered %d', statusCode);
  const message = fromBinary(FollowedChangesSchema, bytes);
  const { content } = decodeChanges(message);
  table.setAll(content, clock.getMonotonicTime() - message.ageMs);
  if (message.proofAgeMs === undefined) return;
  table.recordProof(content, computeEarlierInstant(sentAt, message.proofAgeMs));
}
