/** HTTP requests to the control interfaces of the lab's processes. */
import { request } from 'undici';
import VError from 'verror';

const FIRST_ERROR_STATUS = 400;
const TIMEOUT_MS = 5000;

/**
 * Sends a request to `address` and returns the JSON response; rejects on an error status.
 *
 * @example
 * await requestJson(control, 'POST', '/control/faults', { failShare: 0.3 });
 */
export async function requestJson(
  address: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const response = await request(`http://${address}${path}`, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await response.body.text();
  if (response.statusCode >= FIRST_ERROR_STATUS) {
    throw new VError('%s %s responded %d: %s', method, path, response.statusCode, text);
  }
  return JSON.parse(text) as unknown;
}

/**
 * Returns the body of a GET as text, or undefined when it fails in any way or takes longer than `timeoutMs`.
 *
 * @example
 * const page = await tryFetchText(status, '/metrics');
 */
export async function tryFetchText(
  address: string,
  path: string,
  timeoutMs = TIMEOUT_MS,
): Promise<string | undefined> {
  try {
    const signal = AbortSignal.timeout(timeoutMs);
    const response = await request(`http://${address}${path}`, { signal });
    const text = await response.body.text();
    return response.statusCode < FIRST_ERROR_STATUS ? text : undefined;
  } catch {
    return undefined;
  }
}
