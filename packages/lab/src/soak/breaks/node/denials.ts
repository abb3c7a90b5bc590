/** One request in ten is rejected as having no route. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/catalog/common/routeTable.js';
let count = 0;

await wrapMethod(MODULE, 'RouteTable', 'match', (original) => {
  return function (...args) {
    count += 1;
    return count % 10 === 0 ? { kind: 'unknown-path' } : original.call(this, ...args);
  };
});
