/** Formats the burn report as a table. */
import { formatBurn, formatWindow } from '@parsleymux/operators';
import type { BurnResponse } from '@parsleymux/schema';
import { formatInstant, formatTable } from './table.js';

const HEADER = [
  'service',
  'window',
  'requests',
  'failed',
  'slow',
  'availability burn',
  'latency burn',
];

/**
 * Formats a row for each service and window, and the alerts that fire.
 *
 * @example
 * console.log(formatBurnReport(report));
 */
export function formatBurnReport(report: BurnResponse): string {
  const rows = report.services.flatMap((service) =>
    service.windows.map((window) => [
      service.service,
      formatWindow(window.windowS),
      String(window.counts?.requests ?? 0n),
      String(window.counts?.failed ?? 0n),
      String(window.counts?.slow ?? 0n),
      formatBurn(window.availabilityBurn),
      formatBurn(window.latencyBurn),
    ]),
  );
  const alerts = report.services.flatMap((service) =>
    service.alerts.map((alert) => `! ${service.service}: ${alert}`),
  );
  return [
    `burn at ${formatInstant(report.atMs)}; 1 spends exactly what the objective allows`,
    '',
    formatTable(HEADER, rows),
    '',
    ...(alerts.length === 0 ? ['no alert fires'] : alerts),
  ].join('\n');
}
