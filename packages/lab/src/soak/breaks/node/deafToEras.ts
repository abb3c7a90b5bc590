/** Versions of the store are compared without regard to the store epoch. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('../platform/dist/store/storeClient.js', 'StoreClient', 'readEra', () => {
  return function () {
    return 0;
  };
});
