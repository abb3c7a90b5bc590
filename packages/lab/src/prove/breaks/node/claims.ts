/** Disables claims: every node that receives a request that is not idempotent dispatches it. */
import type { LooseObject } from './wrapMethod.js';
import { executeLoose, wrapMethod } from './wrapMethod.js';

await wrapMethod('claims/dist/guard/common/claimGuard.js', 'ClaimGuard', 'execute', () => {
  return (guarded, signal) => executeLoose(guarded as LooseObject, 'run', signal);
});
