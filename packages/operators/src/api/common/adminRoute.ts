/** One operation of the administration API. */
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJsonString } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { checkMessageText, SettingsError } from '@parsleymux/schema';
import type { IOperator } from '../../access/common/accessControl.js';

/** A request whose operator is known. */
export interface IAdminRequest {
  readonly operator: IOperator;
  /** What stands for the names in braces of the route's path, decoded. */
  readonly parameters: readonly string[];
  readonly query: URLSearchParams;
  /** The whole body, within the limit. */
  readonly body: string;
  readonly signal: AbortSignal;
}

/** A successful answer: a status of HTTP and a body of JSON. */
export interface IAdminResponse {
  readonly status: number;
  readonly body: string;
}

/** A method and path, and what answers them. */
export interface IAdminRoute {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Such as "/v1/plans/{id}"; what stands for a name in braces becomes a parameter. */
  readonly path: string;
  /** Name for the audit log and counters, such as "plan.confirm". */
  readonly action: string;
  readonly handle: (request: IAdminRequest) => Promise<IAdminResponse>;
}

/** Offers routes. */
export abstract class AdminHandler {
  /** The operations that this handler answers. */
  abstract listRoutes(): readonly IAdminRoute[];
}

const OK_STATUS = 200;
/** Status of answers with what a request has made. */
export const CREATED_STATUS = 201;

/**
 * An answer with a message as its body.
 *
 * @example
 * return createResponse(PlanSchema, plan, 201);
 */
export function createResponse<Desc extends DescMessage>(
  schema: Desc,
  message: MessageShape<Desc>,
  status = OK_STATUS,
): IAdminResponse {
  return { status, body: toJsonString(schema, message, { alwaysEmitImplicit: true }) };
}

/**
 * The message in a body, checked against the schema's rules. Throws MalformedRequest, or `code`.
 *
 * @example
 * const body = parseBody(TargetRequestSchema, request.body);
 */
export function parseBody<Desc extends DescMessage>(
  schema: Desc,
  body: string,
  code: ResultCode = ResultCode.MalformedRequest,
): MessageShape<Desc> {
  try {
    return checkMessageText(schema, body === '' ? '{}' : body, 'body');
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    throw new MuxError({ code, message: error.message, runState: RunState.NotRun });
  }
}

/**
 * The first parameter of the path.
 *
 * @example
 * const planId = getParameter(request);
 */
export function getParameter(request: IAdminRequest): string {
  return request.parameters[0] ?? '';
}
