/** Formats traces as JSON lines and parses them. */
import type { ITrace, ITraceFault, ITraceHeader, ITraceRequest } from './trace.js';

type TraceLine = ITraceHeader | ITraceRequest | ITraceFault;

/** Formats a trace as one JSON object per line, ordered by time. */
export function formatTrace(trace: ITrace): string {
  const events = [...trace.faults, ...trace.requests].sort((left, right) => left.atMs - right.atMs);
  return [trace.header, ...events].map((line) => `${JSON.stringify(line)}\n`).join('');
}

/**
 * Parses a trace. Throws if a line isn't JSON or the header is missing.
 *
 * @example
 * const trace = parseTrace(readFileSync(path, 'utf8'));
 */
export function parseTrace(text: string): ITrace {
  const lines = text.split('\n').filter((line) => line !== '');
  const parsed = lines.map((line) => JSON.parse(line) as TraceLine);
  const header = parsed.find((line) => line.kind === 'header');
  if (header === undefined) throw new Error('the trace has no header');
  return {
    header,
    requests: parsed.filter((line) => line.kind === 'request'),
    faults: parsed.filter((line) => line.kind === 'fault'),
  };
}
