/** Types and helpers of the operations of the administration API. */
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJsonString } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { checkMessageText, SettingsError } from '@parsleymux/schema';
import type { IOperator } from '../../access/common/accessControl.js';

/** A request of an authenticated operator. */
export interface IAdminRequest {
  readonly operator: IOperator;
  /** Decoded values of the path segments that are in braces in the route's path. */
  readonly parameters: readonly string[];
  readonly query: URLSearchParams;
  /** The complete body, within the size limit. */
  readonly body: string;
  readonly signal: AbortSignal;
}

/** A successful response: its HTTP status and JSON body. */
export interface IAdminResponse {
  readonly status: number;
  readonly body: string;
}

/** A method and path, and the handler of their requests. */
export interface IAdminRoute {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Such as "/v1/plans/{id}"; a segment in braces matches any value, which becomes a parameter. */
  readonly path: string;
  /** Name in the audit log, such as "plan.confirm". */
  readonly action: string;
  readonly handle: (request: IAdminRequest) => Promise<IAdminResponse>;
}

/** Handles a group of related routes. */
export abstract class AdminHandler {
  /** Lists the routes that this handler serves. */
  abstract listRoutes(): readonly IAdminRoute[];
}

const OK_STATUS = 200;
/** HTTP status of responses to requests that created a resource. */
export const CREATED_STATUS = 201;

/**
 * Creates a response with a message as its body.
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
 * Parses the message in a body and validates it against the schema's rules. Throws MalformedRequest,
 * or `code`.
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
 * Returns the first parameter of the path.
 *
 * @example
 * const planId = getParameter(request);
 */
export function getParameter(request: IAdminRequest): string {
  return request.parameters[0] ?? '';
}
