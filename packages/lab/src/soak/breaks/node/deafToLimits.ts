/** Limits that targets name are taken by no home. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('dispatch/dist/home/common/targetRateLimit.js', 'TargetRateLimit', 'apply', () => {
  return function () {
    return undefined;
  };
});
