/**
 * `node packages/lab/dist/atMostOnce/node/main.js --seed N --seconds S [--runs R]`: sends bookings while
 * nodes are killed (SIGKILL) and paused (SIGSTOP) at random times and responses of the store are lost.
 * Uses seeds N, N+1 and so on. Exits 1 when a key ran twice or a refusal was false. With
 * `--ignore-conditions` the store ignores the conditions of transactions, and the run must fail.
 */
import { parseArgs } from 'node:util';
import type { IBookingReport } from './bookingRun.js';
import { runBookings } from './bookingRun.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    runs: { type: 'string', default: '1' },
    'ignore-conditions': { type: 'boolean', default: false },
  },
});

function printCounts(title: string, counts: ReadonlyMap<string, number>): void {
  console.log(`  ${title}`);
  for (const [name, count] of [...counts].sort((left, right) => right[1] - left[1])) {
    console.log(`    ${String(count).padStart(6)} ${name}`);
  }
}

function printReport(seed: number, report: IBookingReport): void {
  const { kills, pauses, lostResponses } = report.disturbances;
  console.log(
    `seed ${seed}: ${kills} kills, ${pauses} pauses, ${lostResponses} store responses lost`,
  );
  console.log(`  ${report.bookings} bookings, ${report.executions} executions`);
  console.log(`  ${report.notRunChecked} refused as not run and compared`);
  printCounts('last attempts', report.outcomes);
  printCounts('answered bookings, sent again', report.replays);
  printCounts('unanswered bookings, sent again', report.unansweredRetries);
  printCounts('settled by command, then sent again', report.settled);
  console.log(`  ${report.findings.length} violated guarantees`);
  for (const finding of report.findings) console.log(`    ${JSON.stringify(finding)}`);
}

let violations = 0;
for (let run = 0; run < Number(values.runs); run += 1) {
  const seed = Number(values.seed) + run;
  const report = await runBookings({
    seed,
    seconds: Number(values.seconds),
    ignoreConditions: values['ignore-conditions'],
  });
  printReport(seed, report);
  violations += report.findings.length;
}
process.exit(violations === 0 ? 0 : 1);
