/** Reads log files, or standard input if no file is named. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import type { ILogLine } from '../common/logLine.js';
import { parseLogLine } from '../common/logLine.js';

/**
 * Reads all lines of nodes in the files. Rejects if a file can't be read.
 *
 * @example
 * const lines = await readLogs(['node-1.log', 'node-2.log'], process.stdin);
 */
export async function readLogs(
  files: readonly string[],
  input: Readable,
): Promise<readonly ILogLine[]> {
  const streams = files.length === 0 ? [input] : files.map((file) => createReadStream(file));
  const lines: ILogLine[] = [];
  for (const stream of streams) {
    for await (const text of createInterface({ input: stream, crlfDelay: Infinity })) {
      const line = parseLogLine(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines;
}
