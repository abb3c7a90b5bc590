/** A client's connection: sends requests without waiting for answers and reads the answers in order. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { connect } from 'node:net';

export class Connection {
  /** Requests that were sent and not answered, in order. */
  pending = [];
  isClosing = false;
  isClosed = false;
  buffer = Buffer.alloc(0);

  /** Options: host, port, onAnswer(request, answer), onClose(pending, hadAnnouncement). */
  constructor({ host, port, onAnswer, onClose }) {
    this.onAnswer = onAnswer;
    this.onClose = onClose;
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', () => undefined);
    this.socket.once('close', () => {
      this.isClosed = true;
      this.onClose?.(this.pending.splice(0), this.isClosing);
    });
  }

  /** Sends { id, method, path, deadlineMs, body }. */
  send(request) {
    const { body = '', deadlineMs, id, method = 'GET', path, host = 'site.example' } = request;
    const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
    request.sentMs = performance.now();
    this.pending.push(request);
    this.socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\n` +
        `Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`,
    );
  }

  close() {
    this.socket.destroy();
  }

  receive(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    for (let answer = this.read(); answer !== undefined; answer = this.read()) {
      if (answer.status < 200) continue;
      const request = this.pending.shift();
      if (answer.headers.connection === 'close') this.isClosing = true;
      this.onAnswer(request, answer);
    }
  }

  read() {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end === -1) return undefined;
    const [first, ...lines] = this.buffer.subarray(0, end).toString('latin1').split('\r\n');
    const headers = Object.fromEntries(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const length = Number(headers['content-length'] ?? 0);
    if (this.buffer.length < end + 4 + length) return undefined;
    const body = this.buffer.subarray(end + 4, end + 4 + length).toString();
    this.buffer = this.buffer.subarray(end + 4 + length);
    return { status: Number(first.split(' ')[1]), headers, body };
  }
}
