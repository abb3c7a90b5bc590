/** Entries and homes ignore the notices that targets send in their responses. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('dispatch/dist/entry/common/targetNotices.js', 'TargetNotices', 'record', () => {
  return function () {
    return undefined;
  };
});
