/**
 * Runs the platform stand-in as a process: `node main.js --config '{"faults": {"vmLagMs": 2000}}'`.
 * Prints `{"address", "control"}` once it listens. The fields of the configuration are those of
 * IPlatformStandInOptions.
 */
import { disposeOnStop, parseConfigArgument, printReady } from '../../server/node/standInMain.js';
import type { IPlatformStandInOptions } from './platformStandIn.js';
import { PlatformStandIn } from './platformStandIn.js';

const config = parseConfigArgument(process.argv.slice(2)) as IPlatformStandInOptions;
const platform = new PlatformStandIn(config);
disposeOnStop(platform);
await platform.start();
printReady({ address: platform.getAddress(), control: platform.getControlAddress() });
