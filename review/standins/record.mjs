/** The record of one run, written to `record.txt` beside the script. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export class Record {
  lines = [];
  startMs = performance.now();

  constructor(directory) {
    this.path = join(directory, 'record.txt');
  }

  write = (text) => {
    this.lines.push(`${((performance.now() - this.startMs) / 1000).toFixed(3)} ${text}`);
  };

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** A run that takes longer than this could not run, in ms; the limit is 120 s. */
const RUN_LIMIT_MS = 110_000;
/** Exit codes of a driver; run.sh translates them, so that an error of the script is no verdict. */
const ExitCode = { held: 0, broken: 10, notRun: 2 };

/** Runs a case and exits with its verdict. `play` throws if the case couldn't run. */
export async function runCase({ directory, hasTrouble }, play) {
  const record = new Record(directory);
  record.write(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  const exit = (code) => {
    record.save();
    process.exit(code);
  };
  const fail = (error) => {
    record.write(`could not run: ${error?.stack ?? error}`);
    console.error(error);
    exit(ExitCode.notRun);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => fail(signal));
  const timer = setTimeout(() => fail(new Error('took too long')), RUN_LIMIT_MS);
  const { isBroken, text } = await play({ record: record.write, hasTrouble });
  clearTimeout(timer);
  record.write(`${isBroken ? 'BROKEN' : 'HELD'}: ${text}`);
  console.log(`${isBroken ? 'BROKEN' : 'HELD'}: ${text}`);
  exit(isBroken ? ExitCode.broken : ExitCode.held);
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
