/** Memory of idle keep-alive connections between nodes, with both ends in this process. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool } from 'undici';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';

const COUNTS: readonly number[] = [250, 500, 1000, 2000];
const KEEP_ALIVE_MS = 60_000;

/**
 * Opens pools of one connection each, as an entry does to each home it uses.
 *
 * @example
 * tables.push(await measureConnections());
 */
export async function measureConnections(): Promise<IBenchTable> {
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (_, response) => {
    response.end('x');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const pools: Pool[] = [];
  const before = readMemory();
  const rows = [];
  for (const count of COUNTS) {
    while (pools.length < count) pools.push(await openPool(`http://127.0.0.1:${port}`));
    const { heap, resident } = readMemory();
    rows.push([
      count,
      formatNumber((heap - before.heap) / count / 1000),
      formatNumber((resident - before.resident) / count / 1000),
    ]);
  }
  await Promise.all(pools.map((pool) => pool.destroy()));
  server.closeAllConnections();
  server.close();
  return {
    title: 'Idle keep-alive connections, both ends in one process',
    columns: ['connections', 'heap KB each', 'RSS KB each'],
    rows,
  };
}

async function openPool(url: string): Promise<Pool> {
  const pool = new Pool(url, { connections: 1, keepAliveTimeout: KEEP_ALIVE_MS });
  const response = await pool.request({ method: 'GET', path: '/' });
  await response.body.dump();
  return pool;
}

function readMemory(): { readonly heap: number; readonly resident: number } {
  const { gc } = globalThis as { readonly gc?: () => void };
  gc?.();
  const { heapUsed, rss } = process.memoryUsage();
  return { heap: heapUsed, resident: rss };
}
