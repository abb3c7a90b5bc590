/** A caller made of a bare socket, for requests that no HTTP library would send. */
import { connect } from 'node:net';
import { parseTargetAddress } from '@parsleymux/routing';

/** Longest wait for the far end to close, in ms; far above any limit of the node in these tests. */
const GIVE_UP_MS = 20_000;

/** What came back on one connection until it closed. */
export interface IRawExchange {
  readonly text: string;
  /** Status lines in their order. */
  readonly statuses: readonly number[];
  /** Values of `parsleymux-result` in their order. */
  readonly results: readonly number[];
  /** Values of `parsleymux-run-state` in their order. */
  readonly runStates: readonly string[];
  /** Whether the node closed the connection; false when the caller gave up waiting. */
  readonly wasClosed: boolean;
}

/** Options of {@link exchangeRaw}. */
export interface IRawOptions {
  /** Close the caller's side after writing. Default false. */
  readonly end?: boolean;
}

/**
 * Writes bytes on a new connection and reads until it closes.
 *
 * @example
 * const { results } = await requestRaw(address, ['GARBAGE\r\n\r\n']);
 */
export function requestRaw(
  address: string,
  parts: readonly (string | Buffer)[],
  options: IRawOptions = {},
): Promise<IRawExchange> {
  return new Promise((resolve) => {
    const socket = connect(parseTargetAddress(address));
    const chunks: Buffer[] = [];
    let wasClosed = true;
    const timer = setTimeout(() => {
      wasClosed = false;
      socket.destroy();
    }, GIVE_UP_MS);
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(toExchange(Buffer.concat(chunks).toString('latin1'), wasClosed));
    });
    for (const part of parts) socket.write(part, 'latin1');
    if (options.end === true) socket.end();
  });
}

function toExchange(text: string, wasClosed: boolean): IRawExchange {
  return {
    text,
    wasClosed,
    statuses: findAll(text, /HTTP\/1\.1 (\d{3}) /g).map(Number),
    results: findAll(text, /^parsleymux-result: (\d+)/gim).map(Number),
    runStates: findAll(text, /^parsleymux-run-state: (\S+)/gim),
  };
}

function findAll(text: string, pattern: RegExp): readonly string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] ?? '');
}
