/** The retry budget is not enforced. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'scheduling/dist/retries/common/retryWindow.js';

await wrapMethod(MODULE, 'RetryWindow', 'isOpen', () => () => true);
