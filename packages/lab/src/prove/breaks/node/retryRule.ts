/** Requests that are not idempotent are retried although the attempt may have run. */
import { wrapMethod } from './wrapMethod.js';

const MODULE = 'routing/dist/home/common/serviceHome.js';

await wrapMethod(MODULE, 'ServiceHome', 'isRetryAllowed', () => (state) => {
  return !(state as { readonly signal: AbortSignal }).signal.aborted;
});
