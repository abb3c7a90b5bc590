/** Requests continue, retries included, after their callers have disconnected. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/entry/common/requestRunner.js';

await wrapMethod(MODULE, 'RequestRunner', 'run', (original) => {
  return function (request) {
    return original.call(this, request, new AbortController().signal);
  };
});
