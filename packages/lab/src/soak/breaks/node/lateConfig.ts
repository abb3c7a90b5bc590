/** Every second configuration is not applied. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/directory/common/nodeDirectory.js';
let count = 0;

await wrapMethod(MODULE, 'NodeDirectory', 'applyCatalog', (original) => {
  return function () {
    count += 1;
    return count % 2 === 0 ? undefined : original.call(this);
  };
});
