/** A stand-in of a backend: slots, a short queue, deadlines, and requests dropped with their connections. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { createServer } from 'node:http';
import { once } from 'node:events';

const QUEUE = 16;
const PROBE_MS = 25;
const IDLE_CLOSE_MS = 10_000;
/** Idle connections are closed a little later than announced. */
const IDLE_MARGIN_MS = 500;

export class Backend {
  /** All requests, in the order in which they arrived. */
  requests = [];
  running = 0;
  queue = [];

  constructor(options) {
    Object.assign(this, options);
  }

  /** Options: id, host, service, zone, slots, getWorkMs(request), record(text). */
  static async open(options) {
    const backend = new Backend(options);
    backend.server = createServer((request, response) => backend.receive(request, response));
    backend.server.keepAliveTimeout = IDLE_CLOSE_MS + IDLE_MARGIN_MS;
    backend.server.listen(0, options.host);
    await once(backend.server, 'listening');
    backend.address = `${options.host}:${backend.server.address().port}`;
    return backend;
  }

  /** The backend's row in `servers`. */
  get entry() {
    const { address, service, slots, zone, state = 'ready' } = this;
    const info = { service, version: 'v1', zone, slots };
    return { address, info, status: { state, seq: 1, cold_left_s: 0 } };
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.once('end', () => {
      if (request.url === '/healthz') this.admit(makeProbe(this, response));
      else this.handle(request, response, Buffer.concat(chunks));
    });
  }

  handle(request, response, body) {
    const { 'request-id': id, 'expect-instance': expected } = request.headers;
    if (id === undefined) {
      response.writeHead(400, { 'not-run': '1' }).end();
      return;
    }
    const arrival = { id, backend: this.id, atMs: performance.now(), state: 'queued' };
    const deadlineMs = Number(request.headers['deadline-ms'] ?? 60_000);
    Object.assign(arrival, { path: request.url, deadlineMs });
    const refuse = (status) => {
      arrival.state = `refused ${status}`;
      this.record(`${this.id} refuses ${id} with ${status}, not run`);
      response.writeHead(status, { 'request-id': id, 'not-run': '1' }).end();
    };
    if (expected !== undefined && expected !== this.id) {
      refuse(421);
      return;
    }
    this.requests.push(arrival);
    this.record(`${this.id} receives ${id}, deadline ${Math.round(deadlineMs)} ms`);
    this.admit({
      isGone: () => response.destroyed,
      refuse: () => refuse(503),
      run: (done) => this.run({ arrival, body, deadlineMs, request, response }, done),
    });
  }

  admit(work) {
    if (this.running < this.slots) this.start(work);
    else if (this.queue.length < QUEUE) this.queue.push(work);
    else work.refuse();
  }

  start(work) {
    this.running += 1;
    work.run(() => {
      this.running -= 1;
      const next = this.queue.splice(0).filter(({ isGone }) => !isGone());
      const first = next.shift();
      this.queue = next;
      if (first !== undefined) this.start(first);
    });
  }

  run({ arrival, body, deadlineMs, request, response }, done) {
    const { id } = arrival;
    const startMs = performance.now();
    const leftMs = deadlineMs - (startMs - arrival.atMs);
    const workMs = this.getWorkMs({ id, path: request.url, body });
    arrival.state = 'running';
    arrival.startMs = startMs;
    this.record(`${this.id} runs ${id}, work ${Math.round(workMs)} ms`);
    let isDone = false;
    const end = (state) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      arrival.state = state;
      arrival.endMs = performance.now();
      done();
    };
    const isTimely = workMs <= leftMs;
    const timer = setTimeout(
      () => {
        end(isTimely ? 'answered 200' : 'answered 504');
        this.record(`${this.id} ${arrival.state} to ${id}`);
        const text = `${this.id} ran ${id} at ${request.url}\n`;
        response.writeHead(isTimely ? 200 : 504, {
          'content-length': Buffer.byteLength(text),
          'keep-alive': `timeout=${IDLE_CLOSE_MS / 1000}`,
          'request-id': id,
          'server-stamp': `${this.id}.${id}`,
        });
        response.end(text);
      },
      Math.max(0, Math.min(workMs, leftMs)),
    );
    response.once('close', () => {
      if (isDone) return;
      end('dropped');
      this.record(`${this.id} drops ${id}: its connection was closed`);
    });
  }
}

function makeProbe(backend, response) {
  return {
    isGone: () => response.destroyed,
    refuse: () => response.writeHead(503, { 'not-run': '1' }).end(),
    run: (done) => {
      setTimeout(() => {
        done();
        response.writeHead(200, { 'instance-id': backend.id, 'content-length': 0 }).end();
      }, PROBE_MS);
    },
  };
}
