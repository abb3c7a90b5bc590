/**
 * Throughput of the platform stand-in alone. A run in which the stand-in is the bottleneck would
 * measure the stand-in; these results give the load up to which it is not.
 */
import type { IHttpPlatform } from '@parsleymux/store';
import { openHttpPlatform } from '@parsleymux/store';
import { build } from 'hdr-histogram-js';
import { startPlatform } from '../../../processes/node/platformProcess.js';
import { ProcessFleet } from '../../../processes/node/processFleet.js';
import type { Cell, IBenchOptions, IBenchReport } from '../../common/bench.js';
import { Bench, formatNumber, parseNumbers } from '../../common/bench.js';

const RUN_MS = 2000;
const CONNECTIONS = 8;
const ROW_BYTES = 300;
const MICROSECONDS = 1000;

type Operation = (platform: IHttpPlatform, sequence: number) => Promise<unknown>;

function makeTransaction(rows: number): Operation {
  const value = 'x'.repeat(ROW_BYTES);
  return (platform, sequence) => {
    const keys = Array.from({ length: rows }, (_, index) => `bench/${rows}/${sequence}/${index}`);
    return platform.table.transact({
      conditions: keys.map((key) => ({ key, version: 0 })),
      writes: keys.map((key) => ({ key, value })),
    });
  };
}

const readOne: Operation = (platform, sequence) => {
  return platform.table.read([`bench/1/${sequence % 100}/0`]);
};

/** Closed loop over a fixed number of connections: measures maximum throughput, not latency. */
async function measure(name: string, platform: IHttpPlatform, execute: Operation): Promise<Cell[]> {
  const histogram = build();
  const endMs = performance.now() + RUN_MS;
  let sequence = 0;
  const runLoop = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      await execute(platform, (sequence += 1));
      histogram.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS));
    }
  };
  await Promise.all(Array.from({ length: CONNECTIONS }, runLoop));
  const percentiles = [50, 99].map((percentile) => {
    return formatNumber(histogram.getValueAtPercentile(percentile) / MICROSECONDS);
  });
  return [name, formatNumber(sequence / (RUN_MS / 1000)), ...percentiles];
}

class StandInsBench extends Bench {
  override readonly summary = 'operations per second that the platform stand-in sustains';

  override async run(options: IBenchOptions): Promise<IBenchReport> {
    const fleet = new ProcessFleet();
    const { address } = await startPlatform(fleet, {});
    const platform = openHttpPlatform({ url: `http://${address}`, connections: CONNECTIONS });
    const rows: Cell[][] = [];
    for (const size of parseNumbers(options, 'rows', [1, 20, 100])) {
      rows.push(await measure(`transaction of ${size} inserts`, platform, makeTransaction(size)));
    }
    rows.push(await measure('read of one row', platform, readOne));
    await platform.dispose();
    await fleet.dispose();
    return {
      tables: [
        {
          title: `one process, ${CONNECTIONS} connections, rows of ${ROW_BYTES} bytes`,
          columns: ['operation', 'per second', 'p50 ms', 'p99 ms'],
          rows,
        },
      ],
      notes: ['Closed loop over loopback; the client shares the machine with the stand-in.'],
    };
  }
}

export const bench = new StandInsBench();
