/** The `parsleyctl key` commands and `parsleyctl audit`. */
import { create, toJsonString } from '@bufbuild/protobuf';
import type { CreateKeyResponse, KeyInfo, ListAuditResponse } from '@parsleymux/schema';
import {
  CreateKeyRequestSchema,
  CreateKeyResponseSchema,
  KeyInfoSchema,
  ListAuditResponseSchema,
  ListKeysResponseSchema,
  RotateKeyRequestSchema,
} from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';
import { formatInstant, formatTable } from '../../output/common/table.js';
import { AdminCommand, readText } from './adminCommand.js';

const CATEGORY = 'Keys and audit';
const KEY_HEADER = ['id', 'member', 'made', 'ends', 'made by', 'note'];

/** Base class of the commands that manage the keys of one member. */
abstract class KeyCommand extends AdminCommand {
  readonly member = Option.String('--member', {
    description: 'another member; only for operators of the fleet',
  });

  protected formatPath(path: string): string {
    return this.member === undefined ? path : `${path}?member=${encodeURIComponent(this.member)}`;
  }
}

/** Creates the fleet's first key. */
export class KeyBootstrapCommand extends AdminCommand {
  static override readonly paths = [['key', 'bootstrap']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'create the first key of the fleet’s operators; possible only once',
    details:
      'Needs the secret that the nodes share. Without one in the nodes’ settings it works only ' +
      'on a node’s own VM.',
    examples: [['Create the first key', 'parsleyctl key bootstrap --secret-file fleet.key']],
  });

  readonly secretFile = Option.String('--secret-file', {
    description: 'file with the secret that the nodes share',
  });

  protected override async run(): Promise<void> {
    const call = { method: 'POST', path: '/v1/bootstrap' } as const;
    await this.request(CreateKeyResponseSchema, call, formatCreatedKey);
  }

  protected override readKey(): string | undefined {
    return this.secretFile === undefined ? undefined : readText(this.secretFile).trim();
  }
}

/** Creates a key. */
export class KeyCreateCommand extends KeyCommand {
  static override readonly paths = [['key', 'create']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'create a key; it is shown only once',
    examples: [
      ['A key for a colleague', 'parsleyctl key create --note "night shift"'],
      ['A member’s first key', 'parsleyctl key create --member dobrescu'],
    ],
  });

  readonly note = Option.String('--note', '', { description: 'owner or purpose of the key' });

  protected override async run(): Promise<void> {
    const message = create(CreateKeyRequestSchema, { member: this.member ?? '', note: this.note });
    const body = toJsonString(CreateKeyRequestSchema, message);
    const call = { method: 'POST', path: '/v1/keys', body } as const;
    await this.request(CreateKeyResponseSchema, call, formatCreatedKey);
  }
}

/** Replaces a key by a new one. */
export class KeyRotateCommand extends KeyCommand {
  static override readonly paths = [['key', 'rotate']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'create a successor of a key and end the key',
    examples: [['Both work for an hour', 'parsleyctl key rotate 0011223344aa --overlap 3600']],
  });

  readonly id = Option.String({ name: 'ID' });

  readonly overlap = Option.String('--overlap', '0', {
    validator: isNumber(),
    description: 'seconds for which the old key is still accepted',
  });

  protected override async run(): Promise<void> {
    const message = create(RotateKeyRequestSchema, { overlapS: this.overlap });
    const body = toJsonString(RotateKeyRequestSchema, message);
    const path = this.formatPath(`/v1/keys/${encodeURIComponent(this.id)}/rotate`);
    const call = { method: 'POST', path, body } as const;
    await this.request(CreateKeyResponseSchema, call, formatCreatedKey);
  }
}

/** Revokes a key. */
export class KeyRevokeCommand extends KeyCommand {
  static override readonly paths = [['key', 'revoke']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'revoke a key; every node rejects it within seconds',
    examples: [['Revoke a key', 'parsleyctl key revoke 0011223344aa']],
  });

  readonly id = Option.String({ name: 'ID' });

  protected override async run(): Promise<void> {
    const path = this.formatPath(`/v1/keys/${encodeURIComponent(this.id)}`);
    await this.request(KeyInfoSchema, { method: 'DELETE', path }, (info) => {
      return formatTable(KEY_HEADER, [listCells(info)]);
    });
  }
}

/** Lists keys. */
export class KeyListCommand extends KeyCommand {
  static override readonly paths = [['key', 'list']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'list the member’s keys, without their secrets',
    examples: [['List keys', 'parsleyctl key list']],
  });

  protected override async run(): Promise<void> {
    const call = { method: 'GET', path: this.formatPath('/v1/keys') } as const;
    await this.request(ListKeysResponseSchema, call, (list) => {
      return formatTable(KEY_HEADER, list.keys.map(listCells));
    });
  }
}

/** Shows the audit log. */
export class AuditCommand extends AdminCommand {
  static override readonly paths = [['audit']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'show the audit log, newest entries first, including rejected operations',
    examples: [['The last 20 entries', 'parsleyctl audit --limit 20']],
  });

  readonly limit = Option.String('--limit', '100', {
    validator: isNumber(),
    description: 'number of entries, at most 1000',
  });

  protected override async run(): Promise<void> {
    const call = { method: 'GET', path: `/v1/audit?limit=${this.limit}` } as const;
    await this.request(ListAuditResponseSchema, call, formatAudit);
  }
}

function formatCreatedKey(response: CreateKeyResponse): string {
  const { info } = response;
  return `key ${info?.id ?? ''} of ${info?.member ?? ''}, shown only now:\n${response.key}`;
}

function listCells(info: KeyInfo): readonly string[] {
  return [
    info.id,
    info.member,
    formatInstant(info.createdAtMs),
    formatInstant(info.endsAtMs),
    info.createdBy,
    info.note,
  ];
}

function formatAudit(list: ListAuditResponse): string {
  const rows = list.entries.map((entry) => [
    formatInstant(entry.atMs),
    entry.operator,
    entry.action,
    entry.subject,
    entry.code === 0 ? 'done' : String(entry.code),
    entry.note,
  ]);
  return formatTable(['at', 'operator', 'action', 'subject', 'result', 'note'], rows);
}
