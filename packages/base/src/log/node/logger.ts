/** Structured logs. A line is written only when some state changes; what recurs is a counter. */
import type { ConsolaInstance } from 'consola';
import { createConsola } from 'consola';

/** Options of {@link createLogger}. */
export interface ILoggerOptions {
  /** Write one JSON object a line instead of text for people. Default false. */
  readonly json?: boolean;
  /** Fields that every line carries. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Lowest severity that is written. Default 'info'. */
  readonly level?: LogLevel;
  /** Where JSON lines go; `isImportant` is true of warnings and errors. Default: standard error. */
  readonly writeLine?: (line: string, isImportant: boolean) => void;
}

/** Severity of a line, gravest first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** The part of the logger that components use. */
export type Logger = Pick<ConsolaInstance, 'info' | 'warn' | 'error' | 'debug'>;

/** Below every level that consola knows. */
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
    // Lines that are alike speak of different requests; none may be left out for being repeated.
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
 * A logger that writes nothing, for tests and replays.
 *
 * @example
 * const node = new MuxNode({ ...options, log: createSilentLogger() });
 */
export function createSilentLogger(): Logger {
  return createConsola({ level: SILENT_LEVEL });
}
