/** Prints the report of a run. */
import { InvariantName } from '@parsleymux/base';
import type { IOutcomeSummary } from '../../load/node/loadGenerator.js';
import type { NodeProcess } from '../../processes/node/nodeProcess.js';
import type { IFaultCount } from './faultRunner.js';
import type { ICheckCount } from '../common/findings.js';
import type { MetricsWatcher } from './metricsWatcher.js';

const NAME_WIDTH = 44;
const REASON_LENGTH = 300;

/** The fields of a log line that the report shows. */
interface ILogEntry {
  readonly level?: string;
  readonly message?: unknown;
  readonly cause?: unknown;
  readonly error?: unknown;
  /** Name of a violated invariant. */
  readonly name?: unknown;
}

function printTable(title: string, lines: readonly string[]): void {
  console.log(`\n${title}`);
  for (const line of lines) console.log(`  ${line}`);
}

/** Prints the numbers of injected faults by kind. */
export function printFaults(counts: readonly IFaultCount[], errors: readonly string[]): void {
  const lines = counts.map(({ kind, injected, skipped, failed }) => {
    const counted = `${injected} injected, ${skipped} skipped, ${failed} failed in the lab`;
    return `${kind.padEnd(NAME_WIDTH)} ${counted}`;
  });
  printTable('faults', [...lines, ...errors.map((error) => `lab error: ${error}`)]);
}

/** Prints the numbers of requests by the outcome of their last attempt. */
export function printOutcomes(summary: readonly IOutcomeSummary[]): void {
  const lines = summary.map(({ outcome, count, p50Ms, p99Ms }) => {
    return `${outcome.padEnd(NAME_WIDTH)} ${count} (p50 ${p50Ms} ms, p99 ${p99Ms} ms)`;
  });
  printTable('requests by final outcome, latency with retries', lines);
}

/** Prints the nodes' invariant counters; returns the number of violations. */
export function printInvariants(watcher: MetricsWatcher): number {
  const checks = new Map(watcher.getCounts('checks').map(({ name, count }) => [name, count]));
  const violations = new Map(
    watcher.getCounts('violations').map(({ name, count }) => [name, count]),
  );
  const names = Object.values(InvariantName);
  const lines = names.map((name) => {
    const checked = checks.get(name);
    const violated = violations.get(name);
    const text = `${checked ?? 'no'} checks seen, ${violated ?? 'no count of'} violations`;
    return `${name.padEnd(NAME_WIDTH)} ${text}`;
  });
  printTable(`invariants inside ${watcher.getNodeCount()} nodes`, lines);
  return [...violations.values()].reduce((sum, count) => sum + count, 0);
}

/** Prints the checks that the run made from outside the nodes. */
export function printChecks(counts: readonly ICheckCount[]): void {
  const lines = counts.flatMap(({ name, checks, violations, details }) => [
    `${violations === 0 ? 'PASS' : 'FAIL'} ${name.padEnd(NAME_WIDTH)} ${checks} checks, ${violations} violations`,
    ...details.map((detail) => `       ${detail}`),
  ]);
  printTable('checks from outside', lines);
}

/** Prints the errors and warnings of the nodes by message. Only the last lines of each log are available. */
export function printNodeLogs(nodes: readonly NodeProcess[]): void {
  const counts = new Map<string, number>();
  for (const line of nodes.flatMap(({ child }) => child.getErrorLines())) {
    const message = parseAlarm(line);
    if (message !== undefined) counts.set(message, (counts.get(message) ?? 0) + 1);
  }
  const lines = [...counts].map(([message, count]) => `${String(count).padStart(5)} ${message}`);
  printTable('errors and warnings in the logs of nodes', lines);
}

/** Returns the text of a log line that is an error, a warning or not JSON; otherwise undefined. */
function parseAlarm(line: string): string | undefined {
  try {
    const entry = JSON.parse(line) as ILogEntry;
    const isAlarm = entry.level === 'error' || entry.level === 'warn';
    const detail = entry.cause ?? entry.error ?? entry.name;
    const reason =
      detail === undefined ? '' : ` (${JSON.stringify(detail).slice(0, REASON_LENGTH)})`;
    return isAlarm ? `${entry.level}: ${String(entry.message)}${reason}` : undefined;
  } catch {
    const isStack = line.startsWith('    at ');
    return isStack
      ? undefined
      : `not JSON: ${line.replace(/\(node:\d+\)/, '(node)').slice(0, 160)}`;
  }
}
