/** A response whose connection is lost counts as complete. */
import { executeLoose, wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/transport/node/exchange.js', 'Exchange', 'onResponseError', () => {
  return function () {
    return executeLoose(this, 'onResponseEnd');
  };
});
