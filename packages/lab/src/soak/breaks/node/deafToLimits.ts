/** Homes ignore the limits that targets advertise. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod(
  'scheduling/dist/capacity/common/targetRateLimit.js',
  'TargetRateLimit',
  'apply',
  () => {
    return function () {
      return undefined;
    };
  },
);
