/** Ejections are granted even if they violate the capacity floor. */
import { executeLoose, wrapMethod } from './wrapMethod.js';

const MODULE = 'routing/dist/ledger/common/tableEjectionLedger.js';

await wrapMethod(MODULE, 'TableEjectionLedger', 'decide', (original) => {
  return function (request, row) {
    const decision = original.call(this, request, row);
    if (decision !== 'refused-by-floor') return decision;
    executeLoose(this, 'checkFloor', request, executeLoose(this, 'buildFloorCheck', request, row));
    return 'granted';
  };
});
