/**
 * Runs several nodes in one process: `node nodeHostMain.js '{"count": 8, "platformUrl": "..."}'`.
 * Each is a complete node with all its ports. Prints the node addresses and the address of
 * `GET /usage`, and exits when its standard input closes.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createSilentLogger, SystemClock } from '@parsleymux/base';
import { parseSettings } from '@parsleymux/schema';
import type { INodeAddresses } from 'parsleymux';
import { MuxNode } from 'parsleymux';
import { SocketMeter } from './socketMeter.js';

/** Configuration of the process, passed as its first argument. */
export interface INodeHostConfig {
  readonly count: number;
  readonly host: string;
  readonly platformUrl: string;
  readonly failureDomain: string;
}

/** Line printed to standard output once all nodes have started. */
export interface INodeHostReady {
  readonly usage: string;
  readonly nodes: readonly INodeAddresses[];
}

/** Response of `GET /usage`: usage of the whole process since its start. */
export interface INodeHostUsage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly platformBytes: number;
  readonly otherBytes: number;
}

const config = JSON.parse(process.argv[2] ?? '{}') as INodeHostConfig;

function makeSettings(): string {
  const address = `${config.host}:0`;
  return JSON.stringify({
    failureDomain: config.failureDomain,
    peerAddress: address,
    callerAddress: address,
    adminAddress: address,
    statusAddress: address,
    platformUrl: config.platformUrl,
  });
}

function readUsage(meter: SocketMeter): INodeHostUsage {
  const { gc } = globalThis as { readonly gc?: () => void };
  const cpu = process.cpuUsage();
  gc?.();
  const memory = process.memoryUsage();
  const bytes = meter.getBytes();
  return {
    atMs: performance.now(),
    cpuMs: (cpu.user + cpu.system) / 1000,
    residentBytes: memory.rss,
    heapBytes: memory.heapUsed,
    platformBytes: bytes.platform,
    otherBytes: bytes.others,
  };
}

async function startUsageServer(): Promise<string> {
  const ignored = new Set<number>();
  const meter = new SocketMeter(Number(new URL(config.platformUrl).port), ignored);
  const server = createServer((_, response) => {
    response.end(JSON.stringify(readUsage(meter)));
  });
  await new Promise<void>((resolve) => server.listen(0, config.host, resolve));
  const { port } = server.address() as AddressInfo;
  ignored.add(port);
  return `${config.host}:${port}`;
}

const usage = await startUsageServer();
const nodes: INodeAddresses[] = [];
for (let index = 0; index < config.count; index += 1) {
  const settings = parseSettings(makeSettings(), 'node host');
  const node = new MuxNode({ settings, clock: new SystemClock(), log: createSilentLogger() });
  nodes.push(await node.start());
}
const ready: INodeHostReady = { usage, nodes };
process.stdout.write(`${JSON.stringify(ready)}\n`);
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
process.on('SIGTERM', () => process.exit(0));
