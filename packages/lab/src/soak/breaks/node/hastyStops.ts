/** A node that is requested to stop exits immediately. */
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/app/node/directNode.js';

await wrapMethod(MODULE, 'DirectNode', 'stopGracefully', () => () => process.exit(0));
