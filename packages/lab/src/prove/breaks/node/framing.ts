/** An answer whose connection broke is taken for whole. */
import { executeLoose, wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/transport/node/exchange.js', 'Exchange', 'onResponseError', () => {
  return function () {
    return executeLoose(this, 'onResponseEnd');
  };
});
