/** A node that is asked to stop ends at once. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/app/node/directNode.js';

await wrapMethod(MODULE, 'DirectNode', 'stopGracefully', () => () => process.exit(0));
