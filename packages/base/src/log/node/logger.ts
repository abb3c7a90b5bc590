/** Structured logs. Only state changes are logged; recurring events are counted in metrics. */
import type { ConsolaInstance } from 'consola';
import { createConsola } from 'consola';

/** Options of {@link createLogger}. */
export interface ILoggerOptions {
  /** Write one JSON object per line instead of human-readable text. Default false. */
  readonly json?: boolean;
  /** Fields that are added to every line. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Lowest severity that is written. Default 'info'. */
  readonly level?: LogLevel;
  /** Writes a JSON line; `isImportant` is true for warnings and errors. Default: standard error. */
  readonly writeLine?: (line: string, isImportant: boolean) => void;
}

/** Severity of a line, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** The subset of consola's methods that components use. */
export type Logger = Pick<ConsolaInstance, 'info' | 'warn' | 'error' | 'debug'>;

/** Lower than every consola level, so that nothing is written. */
const SILENT_LEVEL = -999;

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Creates a logger that writes to standard error.
 *
 * @example
 * const log = createLogger({ json: true, fields: { node: '127.0.0.1:7000' } });
 * log.info('configuration applied', { revision: 12 });
 */
export function createLogger(options: ILoggerOptions = {}): Logger {
  const level = CONSOLA_LEVELS[options.level ?? 'info'];
  if (options.json !== true) return createConsola({ level, stdout: process.stderr });
  const writeLine = options.writeLine ?? writeToStderr;
  return createConsola({
    level,
    // Identical lines concern different requests, so consola must not suppress repeated lines.
    throttle: 0,
    reporters: [
      {
        log(entry) {
          const [message, ...details] = entry.args as readonly unknown[];
          const fields = Object.assign({}, options.fields, ...details) as Record<string, unknown>;
          const line = { time: entry.date.toISOString(), level: entry.type, message, ...fields };
          writeLine(JSON.stringify(line), entry.level <= CONSOLA_LEVELS.warn);
        },
      },
    ],
  });
}

function writeToStderr(line: string): void {
  process.stderr.write(`${line}\n`);
}

/**
 * Creates a logger that writes nothing, for tests and replays.
 *
 * @example
 * const node = new MuxNode({ ...options, log: createSilentLogger() });
 */
export function createSilentLogger(): Logger {
  return createConsola({ level: SILENT_LEVEL });
}
