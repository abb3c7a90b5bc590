/**
 * The control interface of a target stand-in:
 *
 * - `GET|POST|DELETE /control/faults`: read, update in part, or clear ITargetFaults
 * - `POST /control/silence`: permanently silences the connections that are open
 * - `GET /control/executions?after=N` → {@link IExecutionsBody}; shared by the targets of one process
 *   and service
 * - `GET /control/counters` → ITargetCounters
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson } from '../../server/node/httpBody.js';
import type { IExecution } from '../common/executionLog.js';
import type { ITargetFaults } from '../common/targetConfig.js';
import type { TargetStandIn } from './targetStandIn.js';

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** The executions from the requested index on. */
export interface IExecutionsBody {
  readonly executions: readonly IExecution[];
}

/**
 * Serves one control request.
 *
 * @example
 * await handleTargetControl(target, request, response);
 */
export async function handleTargetControl(
  target: TargetStandIn,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await executeControl(target, request);
    if (body === undefined) sendJson(response, NOT_FOUND, { error: 'no such control' });
    else sendJson(response, OK, body);
  } catch (error) {
    sendJson(response, BAD_REQUEST, { error: String(error) });
  }
}

/** Returns the body of the response to a control request, or undefined for an unknown path. */
async function executeControl(target: TargetStandIn, request: IncomingMessage): Promise<unknown> {
  const url = new URL(request.url ?? '/', 'http://control');
  switch (`${request.method ?? 'GET'} ${url.pathname}`) {
    case 'GET /control/faults':
      return target.getFaults();
    case 'POST /control/faults':
      await target.setFaults((await readJson(request)) as Partial<ITargetFaults>);
      return target.getFaults();
    case 'DELETE /control/faults':
      await target.clearFaults();
      return target.getFaults();
    case 'POST /control/silence':
      return { silenced: target.markConnectionsSilent() };
    case 'GET /control/executions':
      return { executions: target.executions.list(Number(url.searchParams.get('after') ?? '0')) };
    case 'GET /control/counters':
      return target.getCounters();
    default:
      return undefined;
  }
}
