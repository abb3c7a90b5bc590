/** A failure after bytes were sent is reported as "not run", although the request may have run. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/transport/node/exchange.js', 'Exchange', 'end', (original) => {
  return function (...args) {
    this.startBytes = Infinity;
    return original.call(this, ...args);
  };
});
