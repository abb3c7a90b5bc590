/** Serves operator keys and the audit log. */
import { MS_PER_SECOND } from '@parsleymux/base';
import { create } from '@bufbuild/protobuf';
import {
  CreateKeyRequestSchema,
  KeyInfoSchema,
  ListAuditResponseSchema,
  ListKeysResponseSchema,
  RotateKeyRequestSchema,
} from '@parsleymux/schema';
import type { AccessControl } from '../../access/common/accessControl.js';
import type { AuditLog } from '../../audit/common/auditLog.js';
import type { KeyStore } from '../../keys/common/keyStore.js';
import type { IAdminResponse, IAdminRequest, IAdminRoute } from './adminRoute.js';
import { AdminHandler, createResponse, getParameter, parseBody } from './adminRoute.js';
import { createKeyResponse, toKeyInfo } from './keyResponse.js';

const DEFAULT_AUDIT_ENTRIES = 100;
const MAX_AUDIT_ENTRIES = 1000;

/** Options of a {@link KeyHandler}. */
export interface IKeyHandlerOptions {
  readonly keys: KeyStore;
  readonly audit: AuditLog;
  readonly access: AccessControl;
}

/**
 * Handles `/v1/keys` and `/v1/audit`. Operators manage the keys of their own member. Operators of the
 * fleet also manage those of any member, because they create a member's first key.
 */
export class KeyHandler extends AdminHandler {
  constructor(private readonly options: IKeyHandlerOptions) {
    super();
  }

  override listRoutes(): readonly IAdminRoute[] {
    return [
      {
        method: 'GET',
        path: '/v1/keys',
        action: 'key.list',
        handle: (request) => this.list(request),
      },
      {
        method: 'POST',
        path: '/v1/keys',
        action: 'key.create',
        handle: (request) => this.create(request),
      },
      {
        method: 'POST',
        path: '/v1/keys/{id}/rotate',
        action: 'key.rotate',
        handle: (request) => this.rotate(request),
      },
      {
        method: 'DELETE',
        path: '/v1/keys/{id}',
        action: 'key.revoke',
        handle: (request) => this.revoke(request),
      },
      {
        method: 'GET',
        path: '/v1/audit',
        action: 'audit.show',
        handle: (request) => this.listAudit(request),
      },
    ];
  }

  private async list(request: IAdminRequest): Promise<IAdminResponse> {
    const member = await this.resolveRequestedMember(request, 'key.list');
    const rows = await this.options.keys.list(member, request.signal);
    const response = create(ListKeysResponseSchema, { keys: rows.map(toKeyInfo) });
    return createResponse(ListKeysResponseSchema, response);
  }

  private async create(request: IAdminRequest): Promise<IAdminResponse> {
    const body = parseBody(CreateKeyRequestSchema, request.body);
    const member = await this.resolveRequestedMember(request, 'key.create', body.member);
    const { keys } = this.options;
    const operator = request.operator.keyId;
    return createKeyResponse(
      await keys.create({ member, note: body.note, operator }, request.signal),
    );
  }

  private async rotate(request: IAdminRequest): Promise<IAdminResponse> {
    const body = parseBody(RotateKeyRequestSchema, request.body);
    const member = await this.resolveRequestedMember(request, 'key.rotate');
    const target = { member, id: getParameter(request), operator: request.operator.keyId };
    const overlapMs = body.overlapS * MS_PER_SECOND;
    return createKeyResponse(await this.options.keys.rotate(target, overlapMs, request.signal));
  }

  private async revoke(request: IAdminRequest): Promise<IAdminResponse> {
    const member = await this.resolveRequestedMember(request, 'key.revoke');
    const target = { member, id: getParameter(request), operator: request.operator.keyId };
    const row = await this.options.keys.revoke(target, request.signal);
    return createResponse(KeyInfoSchema, create(KeyInfoSchema, toKeyInfo(row)));
  }

  private async listAudit(request: IAdminRequest): Promise<IAdminResponse> {
    const { operator, query, signal } = request;
    const member = query.get('member') ?? operator.member;
    await this.options.access.checkMember(operator, member, 'audit.show', signal);
    const requested = Number(query.get('limit') ?? DEFAULT_AUDIT_ENTRIES);
    const limit = Math.min(Math.max(1, Math.trunc(requested) || 1), MAX_AUDIT_ENTRIES);
    const entries = await this.options.audit.list(member, limit, signal);
    const response = create(ListAuditResponseSchema, {
      entries: entries.map((entry) => ({ ...entry, atMs: BigInt(entry.atMs) })),
    });
    return createResponse(ListAuditResponseSchema, response);
  }

  private async resolveRequestedMember(
    request: IAdminRequest,
    action: string,
    bodyMember = '',
  ): Promise<string> {
    const { operator } = request;
    const requested = bodyMember === '' ? request.query.get('member') : bodyMember;
    const member = requested ?? operator.member;
    if (!operator.isFleet) {
      await this.options.access.checkMember(operator, member, action, request.signal);
    }
    return member;
  }
}
