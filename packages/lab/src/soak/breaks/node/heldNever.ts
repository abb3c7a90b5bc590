/** Requests that crash targets are not quarantined. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'scheduling/dist/quarantine/common/requestQuarantine.js';

await wrapMethod(MODULE, 'RequestQuarantine', 'getHoldMs', () => {
  return function () {
    return 0;
  };
});
