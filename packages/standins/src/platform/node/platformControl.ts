/**
 * The control interface of the platform stand-in:
 *
 * - `GET|POST|DELETE /control/faults`: read, update in part, or clear IPlatformFaults
 * - `GET /control/counters` → IPlatformCounters
 * - `GET /control/rows?prefix=P` → the current rows, regardless of faults
 * - `GET|PUT /control/vms` (one IVm), `DELETE /control/vms?address=A`
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IVm } from '@parsleymux/store';
import { readJson, sendJson } from '../../server/node/httpBody.js';
import type { IPlatformFaults } from '../common/platformFaults.js';
import type { PlatformStandIn } from './platformStandIn.js';

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/**
 * Serves one control request.
 *
 * @example
 * await handlePlatformControl(platform, request, response);
 */
export async function handlePlatformControl(
  platform: PlatformStandIn,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await executeControl(platform, request);
    if (body === undefined) sendJson(response, NOT_FOUND, { error: 'no such control' });
    else sendJson(response, OK, body);
  } catch (error) {
    sendJson(response, BAD_REQUEST, { error: String(error) });
  }
}

/** Returns the body of the response to a control request, or undefined for an unknown path. */
async function executeControl(
  platform: PlatformStandIn,
  request: IncomingMessage,
): Promise<unknown> {
  const url = new URL(request.url ?? '/', 'http://control');
  switch (`${request.method ?? 'GET'} ${url.pathname}`) {
    case 'GET /control/faults':
      return platform.getFaults();
    case 'POST /control/faults':
      await platform.setFaults((await readJson(request)) as Partial<IPlatformFaults>);
      return platform.getFaults();
    case 'DELETE /control/faults':
      await platform.clearFaults();
      return platform.getFaults();
    case 'GET /control/counters':
      return platform.getCounters();
    case 'GET /control/rows':
      return { rows: platform.getRows(url.searchParams.get('prefix') ?? '') };
    case 'GET /control/vms':
      return { vms: platform.getVms() };
    case 'PUT /control/vms':
      platform.registerVm((await readJson(request)) as IVm);
      return { vms: platform.getVms() };
    case 'DELETE /control/vms':
      platform.removeVm(url.searchParams.get('address') ?? '');
      return { vms: platform.getVms() };
    default:
      return undefined;
  }
}
