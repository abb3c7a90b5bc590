/** Converts operator keys to responses of the administration API. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import { create } from '@bufbuild/protobuf';
import type { KeyInfoSchema } from '@parsleymux/schema';
import { CreateKeyResponseSchema } from '@parsleymux/schema';
import type { IKeyRow } from '../../keys/common/keyRow.js';
import type { ICreatedKey } from '../../keys/common/keyStore.js';
import type { IAdminResponse } from './adminRoute.js';
import { createResponse, CREATED_STATUS } from './adminRoute.js';

/**
 * Creates the response with a new key, the only response that contains a secret.
 *
 * @example
 * return createKeyResponse(await keys.createBootstrapKey('bootstrap', signal));
 */
export function createKeyResponse(created: ICreatedKey): IAdminResponse {
  const response = create(CreateKeyResponseSchema, {
    info: toKeyInfo(created.row),
    key: created.key,
  });
  return createResponse(CreateKeyResponseSchema, response, CREATED_STATUS);
}

/**
 * Converts a key's row to a message, without the hash of its secret.
 *
 * @example
 * const response = create(ListKeysResponseSchema, { keys: rows.map(toKeyInfo) });
 */
export function toKeyInfo(row: IKeyRow): MessageInitShape<typeof KeyInfoSchema> {
  const { id, member, note, createdBy } = row;
  const createdAtMs = BigInt(row.createdAtMs);
  return { id, member, note, createdBy, createdAtMs, endsAtMs: BigInt(row.endsAtMs) };
}
