/** A request that may have run is sent again, although it is not idempotent. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/entry/common/requestRunner.js';

await wrapMethod(MODULE, 'RequestRunner', 'hasNextAttempt', (original) => {
  return function (request, state) {
    return original.call(this, request, { ...(state as LooseObject), mayHaveRun: false });
  };
});
