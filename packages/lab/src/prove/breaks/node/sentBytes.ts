/** A failure after bytes were sent is taken for one before: "not run" although it may have. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/transport/node/exchange.js', 'Exchange', 'end', (original) => {
  return function (...args) {
    this.startBytes = Infinity;
    return original.call(this, ...args);
  };
});
