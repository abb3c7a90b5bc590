/**
 * Memory of one node by the number of open caller connections: idle after one response each, and
 * with one request pending on each. Targets accept about 400 connections, so 400 is the relevant size.
 */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseTargetAddress } from '@parsleymux/routing';
import VError from 'verror';
import { LabWorld } from '../../../processes/node/labWorld.js';
import { parseCounter } from '../../../processes/node/nodeMetrics.js';
import type { NodeProcess } from '../../../processes/node/nodeProcess.js';
import type { Cell, IBenchOptions, IBenchReport } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';

const REQUEST = 'GET /survey HTTP/1.1\r\nHost: survey.relinieri.example\r\n\r\n';
const SETTLE_MS = 3000;
const ROUNDS_WHEN_BUSY = 5;
const MEBIBYTE = 1024 * 1024;

/** Memory of a process as reported by its metrics, in MiB. */
interface IMemory {
  readonly resident: number;
  readonly heap: number;
}

class ConnectionsBench extends Bench {
  override readonly summary = 'memory of a node by its open connections from callers';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const world = new LabWorld({ seed: options.seed, nodeCount: 2 });
    try {
      await world.start();
      await world.applyIntents();
      const [node] = world.getNodes();
      if (node === undefined) throw new VError('no node is running');
      await waitUntilServing(node);
      const rows: Cell[][] = [];
      for (const count of parseNumbers(options, 'connections', [0, 100, 400, 1600])) {
        options.log(`${count} connections`);
        rows.push(await measureCount(node, count));
      }
      return makeReport(rows);
    } finally {
      await world.dispose();
    }
  }
}

async function measureCount(node: NodeProcess, count: number): Promise<Cell[]> {
  const sockets = await Promise.all(Array.from({ length: count }, () => openConnection(node)));
  await Promise.all(sockets.map(requestOnce));
  await sleep(SETTLE_MS);
  const idle = await readMemory(node);
  let busiest: IMemory = { resident: 0, heap: 0 };
  for (let round = 0; round < ROUNDS_WHEN_BUSY; round += 1) {
    const pending = sockets.map(requestOnce);
    const now = await readMemory(node);
    if (now.resident > busiest.resident) busiest = now;
    await Promise.all(pending);
  }
  for (const socket of sockets) socket.destroy();
  await sleep(SETTLE_MS);
  return [
    count,
    ...[idle.resident, idle.heap, busiest.resident].map((value) => formatNumber(value)),
  ];
}

async function openConnection(node: NodeProcess): Promise<Socket> {
  const socket = connect(parseTargetAddress(node.addresses.caller));
  await once(socket, 'connect');
  return socket;
}

/** Sends one request. A small response arrives in one chunk; a refusal counts as a response. */
async function requestOnce(socket: Socket): Promise<void> {
  socket.write(REQUEST);
  await once(socket, 'data');
}

async function waitUntilServing(node: NodeProcess): Promise<void> {
  for (;;) {
    const socket = await openConnection(node);
    socket.write(REQUEST);
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    if (chunk.toString().startsWith('HTTP/1.1 200')) return;
    await sleep(100);
  }
}

async function readMemory(node: NodeProcess): Promise<IMemory> {
  const page = (await node.fetchMetrics()) ?? '';
  return {
    resident: parseCounter(page, 'process_resident_memory_bytes') / MEBIBYTE,
    heap: parseCounter(page, 'nodejs_heap_size_used_bytes') / MEBIBYTE,
  };
}

function makeReport(rows: readonly Cell[][]): IBenchReport {
  return {
    tables: [
      {
        title: 'one node by open caller connections',
        columns: ['connections', 'idle resident MiB', 'idle heap MiB', 'busy resident MiB'],
        rows,
      },
    ],
    notes: [
      'Idle: 3 s after one response on each connection. Busy: the highest of 5 readings while every connection waits for a response; many requests are refused as overload.',
      'All rows are measured in one process, one after another, so later rows include memory that the heap retains from earlier ones.',
    ],
  };
}

export const bench = new ConnectionsBench();
