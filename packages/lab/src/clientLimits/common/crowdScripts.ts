/** What the clients of a crowd send: parts of requests, and requests without end. */

const CHUNK_BYTES = 65_536;
const TINY_CHUNK = '1\r\nx\r\n';
/** Tiny chunks per write. */
const TINY_CHUNKS = 10_000;
const PIPELINED_REQUESTS = 500;

/** Parts of a byte stream, in order. */
export type Script = () => Iterable<Buffer>;

/** The first lines of the requests of a crowd. */
export interface IRequestLine {
  readonly host: string;
  readonly path: string;
  /** Default: POST. */
  readonly method?: string;
  /** Header lines in addition to the host, without line ends. */
  readonly headers?: readonly string[];
}

/**
 * Returns the head of a request, without the empty line at its end.
 *
 * @example
 * formatHead({ host: 'h.example', path: '/orders/1' });
 */
export function formatHead({ host, path, method = 'POST', headers = [] }: IRequestLine): string {
  const lines = [`${method} ${path} HTTP/1.1`, `host: ${host}`, ...headers];
  return lines.map((line) => `${line}\r\n`).join('');
}

/** Sends `sentBytes` of a body whose announced length is `announcedBytes`. */
export function makeSizedScript(
  line: IRequestLine,
  announcedBytes: number,
  sentBytes: number,
): Script {
  return function* () {
    yield Buffer.from(`${formatHead(line)}content-length: ${announcedBytes}\r\n\r\n`);
    yield* listBlocks(sentBytes);
  };
}

/** Sends a chunked body in large chunks; without `isComplete`, its end is missing. */
export function makeChunkedScript(
  line: IRequestLine,
  sentBytes: number,
  isComplete = false,
): Script {
  return function* () {
    yield Buffer.from(`${formatHead(line)}transfer-encoding: chunked\r\n\r\n`);
    for (const block of listBlocks(sentBytes)) {
      yield Buffer.concat([
        Buffer.from(`${block.byteLength.toString(16)}\r\n`),
        block,
        Buffer.from('\r\n'),
      ]);
    }
    if (isComplete) yield Buffer.from('0\r\n\r\n');
  };
}

/** Sends a chunked body in chunks of one byte, without its end. */
export function makeTinyChunksScript(line: IRequestLine, chunks: number): Script {
  return function* () {
    yield Buffer.from(`${formatHead(line)}transfer-encoding: chunked\r\n\r\n`);
    for (let sent = 0; sent < chunks; sent += TINY_CHUNKS) {
      yield Buffer.from(TINY_CHUNK.repeat(Math.min(TINY_CHUNKS, chunks - sent)));
    }
  };
}

/** Sends the beginning of a head that has no end. */
export function makeHeadScript(line: IRequestLine, sentBytes: number): Script {
  return function* () {
    yield Buffer.from(`${formatHead(line)}x-filler: `);
    yield* listBlocks(sentBytes);
  };
}

/** Sends complete requests without waiting for their responses. */
export function makePipelinedScript(line: IRequestLine, requests: number): Script {
  const request = `${formatHead({ ...line, method: 'GET' })}\r\n`;
  return function* () {
    for (let sent = 0; sent < requests; sent += PIPELINED_REQUESTS) {
      yield Buffer.from(request.repeat(Math.min(PIPELINED_REQUESTS, requests - sent)));
    }
  };
}

/** Sends nothing. */
export const SILENT_SCRIPT: Script = () => [];

function* listBlocks(bytes: number): Iterable<Buffer> {
  const block = Buffer.alloc(CHUNK_BYTES, 'x');
  for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) {
    yield block.subarray(0, Math.min(CHUNK_BYTES, bytes - sent));
  }
}
