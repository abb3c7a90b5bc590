/** A claim is taken for won although the store never proved it. */
import { wrapMethod } from './wrapMethod.js';

const MODULE = 'claims/dist/attempt/common/attemptRegistry.js';

await wrapMethod(MODULE, 'Attempt', 'recordClaim', () => () => undefined);
