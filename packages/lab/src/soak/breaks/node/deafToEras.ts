/** Versions of the store are compared whatever era they belong to. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('../platform/dist/store/storeClient.js', 'StoreClient', 'readEra', () => {
  return function () {
    return 0;
  };
});
