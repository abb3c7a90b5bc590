/** Targets that leave are taken for targets that stay. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/home/common/serviceScheduler.js';

await wrapMethod(MODULE, 'ServiceScheduler', 'setTargets', (original) => {
  return function (records) {
    const staying = (records as readonly LooseObject[]).map((record) => {
      return { ...record, isDraining: false };
    });
    return original.call(this, staying);
  };
});
