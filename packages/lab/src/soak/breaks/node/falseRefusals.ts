/** A failure after which the request may have run is reported as a rejection. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/entry/common/requestRunner.js';
const NOT_RUN = 503;

await wrapMethod(MODULE, 'RequestRunner', 'makeFailure', (original) => {
  return function (...args) {
    const response = original.call(this, ...args) as LooseObject;
    return response.runState === 'ran' ? response : { ...response, status: NOT_RUN };
  };
});
