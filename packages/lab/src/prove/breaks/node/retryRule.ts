/** Retries although the attempt may have run and the request is not idempotent. */
import { wrapMethod } from './wrapMethod.js';

const MODULE = 'routing/dist/home/common/serviceHome.js';

await wrapMethod(MODULE, 'ServiceHome', 'isRetryAllowed', () => (passage) => {
  return !(passage as { readonly signal: AbortSignal }).signal.aborted;
});
