/** Repeats are sent however many there were. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/home/common/retryWindow.js';

await wrapMethod(MODULE, 'RetryWindow', 'isOpen', () => () => true);
