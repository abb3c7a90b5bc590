/** Nodes that have lost their path to the targets ask no peer. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

await wrapMethod('dispatch/dist/relay/common/relaySelector.js', 'RelaySelector', 'pick', () => {
  return function () {
    return undefined;
  };
});
