/**
 * Runs target stand-ins in one process: `node main.js --config '{"targets": [{"service": "booking"}]}'`.
 * Each entry has the fields of ITargetStandInOptions that JSON can carry; entries of the same
 * member and service share their execution log. Prints
 * `{"address", "targets": [{"member", "service", "address", "control"}]}` once all targets listen.
 */
import { DisposableStore } from '@parsleymux/base';
import { disposeOnStop, parseConfigArgument, printReady } from '../../server/node/standInMain.js';
import { ExecutionLog } from '../common/executionLog.js';
import type { ITargetStandInOptions } from './targetStandIn.js';
import { TargetStandIn } from './targetStandIn.js';

interface ITargetMainConfig {
  readonly targets?: readonly ITargetStandInOptions[];
}

const config = parseConfigArgument(process.argv.slice(2)) as ITargetMainConfig;
const logs = new Map<string, ExecutionLog>();
const store = new DisposableStore();
disposeOnStop(store);

function ensureLog(options: ITargetStandInOptions): ExecutionLog {
  const name = `${options.member ?? ''}/${options.service ?? ''}`;
  const log = logs.get(name) ?? new ExecutionLog();
  logs.set(name, log);
  return log;
}

const targets: TargetStandIn[] = [];
for (const options of config.targets ?? [{}]) {
  const target = store.add(new TargetStandIn({ ...options, executions: ensureLog(options) }));
  await target.start();
  targets.push(target);
}
printReady({
  address: targets[0]?.getAddress(),
  targets: targets.map((target) => ({
    member: target.config.member,
    service: target.config.service,
    address: target.getAddress(),
    control: target.getControlAddress(),
  })),
});
