/** What targets say of themselves in answers is not heeded, neither by entries nor by homes. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('dispatch/dist/entry/common/targetNotices.js', 'TargetNotices', 'record', () => {
  return function () {
    return undefined;
  };
});
