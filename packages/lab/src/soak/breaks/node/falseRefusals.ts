/** A failure after which a request may have run is told as a refusal. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/entry/common/requestRunner.js';
const NOT_RUN = 503;

await wrapMethod(MODULE, 'RequestRunner', 'makeFailure', (original) => {
  return function (...args) {
    const answer = original.call(this, ...args) as LooseObject;
    return answer.runState === 'ran' ? answer : { ...answer, status: NOT_RUN };
  };
});
