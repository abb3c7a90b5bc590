/** Limits the bytes of a response that are not its body. */
import VError from 'verror';

/**
 * Bytes that a response may have in addition to its body, several times its largest head: interim responses and
 * trailers have heads of their own.
 */
const MAX_FRAMING_BYTES = 262_144;
/** Bytes of framing for each byte of the body: a chunk of one byte needs five and may have an extension. */
const MAX_FRAMING_PER_BODY_BYTE = 15;

/**
 * Parsers skip some bytes without any event, such as empty lines before a status line, reason phrases, interim
 * responses and extensions of chunks. A target that sends them without end would keep a node busy until the
 * deadline, or for ever on an idle connection.
 *
 * @example
 * const limit = new FramingLimit();
 * if (!limit.tryRead(chunk.byteLength)) closeConnection();
 */
export class FramingLimit {
  private readBytes = 0;
  private bodyBytes = 0;

  /** Counts bytes before they are parsed. Returns false if those parsed before exceed the limit. */
  tryRead(bytes: number): boolean {
    const framing = this.readBytes - this.bodyBytes;
    this.readBytes += bytes;
    return framing <= MAX_FRAMING_BYTES + this.bodyBytes * MAX_FRAMING_PER_BODY_BYTE;
  }

  /** Counts bytes that were parsed as part of a body. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }
}

/** The error of a connection whose target exceeded the limit. */
export class FramingLimitError extends VError {
  constructor() {
    super('the response has too many bytes that are not its body');
    this.name = 'FramingLimitError';
  }
}
