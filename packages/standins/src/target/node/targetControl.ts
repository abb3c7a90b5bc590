/**
 * The control interface of a target stand-in:
 *
 * - `GET|POST|DELETE /control/faults`: read, change in part, clear ITargetFaults
 * - `POST /control/silence`: the connections open now go silent for good
 * - `GET /control/executions?after=N` → {@link IExecutionsBody}; targets of one process and
 *   service share them
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

/** Executions from the asked index on. */
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
    const answer = await executeControl(target, request);
    if (answer === undefined) sendJson(response, NOT_FOUND, { error: 'no such control' });
    else sendJson(response, OK, answer);
  } catch (error) {
    sendJson(response, BAD_REQUEST, { error: String(error) });
  }
}

/** The answer to a control request, or undefined when there is no such control. */
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
