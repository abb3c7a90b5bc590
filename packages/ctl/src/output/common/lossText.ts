/** Formats the report of lost requests as a table. */
import type { ILossReport } from '../../explain/common/lossReport.js';
import { formatTable } from './table.js';

const PERCENT = 100;

/**
 * Formats a table with a row for each service, kind and reason; its counts add up to all requests.
 *
 * @example
 * process.stdout.write(formatLosses(countLosses(lines)));
 */
export function formatLosses({ inTime, requests, rows }: ILossReport): string {
  const formatRow = (service: string, kind: string, reason: string, count: number) => {
    const share = `${((count / Math.max(1, requests)) * PERCENT).toFixed(2)}%`;
    return [service, kind, reason, String(count), share];
  };
  return formatTable(
    ['service', 'kind', 'reason', 'requests', 'share'],
    [
      ...rows.map(({ kind, reason, requests: lost, service }) => {
        return formatRow(service, kind, reason, lost);
      }),
      formatRow('all', 'in time', '', inTime),
      formatRow('all', 'all', '', requests),
    ],
  );
}
