/** Draining targets are scheduled like other targets. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'scheduling/dist/scheduler/common/serviceScheduler.js';

await wrapMethod(MODULE, 'ServiceScheduler', 'setTargets', (original) => {
  return function (records) {
    const unmarked = (records as readonly LooseObject[]).map((record) => {
      return { ...record, isDraining: false };
    });
    return original.call(this, unmarked);
  };
});
