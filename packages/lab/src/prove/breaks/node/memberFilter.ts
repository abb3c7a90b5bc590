/** Status covers every member, whichever member requests it. */
import { wrapMethod } from './wrapMethod.js';

const MODULE = 'node/dist/admin/node/peerStatusProvider.js';

await wrapMethod(MODULE, 'PeerStatusProvider', 'fetchStatus', (original) => {
  return function (address, _member, signal) {
    return original.call(this, address, '', signal);
  };
});
