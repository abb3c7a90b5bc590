/**
 * A node gets SIGTERM while clients with kept connections send further safe requests before the first ones
 * have been answered. Looks for requests that a backend got and whose connection ends without an answer.
 */
import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { Backend } from '../standins/backend.mjs';
import { Connection } from '../standins/client.mjs';
import { BOUNDS, Fleet } from '../standins/fleet.mjs';
import { runCase, sleep } from '../standins/record.mjs';
import { Store } from '../standins/store.mjs';

const HOST = '127.0.0.1';
const ZONES = ['hala-a', 'hala-b', 'hala-c'];
/** As on the sheet: survey-list, 440 ms of work, deadline 2,500 ms. */
const WORK_MS = 440;
const DEADLINE_MS = 2500;
const ROUTE_TIMEOUT_S = 2.5;
const CLIENTS = 4;
/** Time between the first request of a connection and the one sent behind it, in ms. */
const SECOND_AFTER_MS = 220;
const CALM_MS = 5000;
const AFTER_MS = 9000;
/** Requests sent no later than this after the SIGTERM are excused while their backend is at work at the end. */
const EXCUSED_SENT_MS = 3000;

/** With TROUBLE=0 the same is done without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

void runCase({ directory: import.meta.dirname, hasTrouble }, async ({ record }) => {
  const store = await Store.open(HOST);
  const backends = await openBackends(record);
  store.put('op', 'config', makeConfig());
  for (const backend of backends) store.put('servers', backend.id, backend.entry);
  const fleet = new Fleet({ record, store });
  try {
    await fleet.start(ZONES);
    await sleep(2000);
    const clients = Array.from({ length: CLIENTS }, (_, index) => {
      return new PipeliningClient({ name: `client-${index}`, fleet, record });
    });
    for (const client of clients) client.start();
    await sleep(CALM_MS);
    const [stopped] = fleet.nodes;
    const termMs = performance.now();
    if (hasTrouble) fleet.signal(stopped, 'SIGTERM');
    await sleep(AFTER_MS);
    for (const client of clients) client.isStopping = true;
    await sleep(DEADLINE_MS + 500);
    return judge({ backends, clients, record, stopped, termMs });
  } finally {
    await fleet.stop();
    for (const backend of backends) backend.close();
    store.close();
  }
});

function judge({ backends, clients, record, stopped, termMs }) {
  const arrived = new Map(backends.flatMap(({ requests }) => requests.map((one) => [one.id, one])));
  const lost = clients
    .flatMap((client) => client.unanswered)
    .filter(({ request }) => arrived.has(request.id));
  const counted = lost.filter(({ closedMs, request }) => {
    const isPlanned = closedMs <= termMs + (BOUNDS.grace_s + 1) * 1000;
    const isTimely = closedMs < request.sentMs + Math.min(DEADLINE_MS, ROUTE_TIMEOUT_S * 1000);
    return isPlanned && isTimely && request.sentMs > termMs + EXCUSED_SENT_MS;
  });
  for (const { closedMs, request } of lost) {
    const { backend, state } = arrived.get(request.id);
    record(
      `no answer to ${request.id}: sent ${formatMs(request.sentMs - termMs)} and closed ` +
        `${formatMs(closedMs - termMs)} after the SIGTERM; ${backend}: ${state}`,
    );
  }
  const answered = clients.reduce((sum, client) => sum + client.answered, 0);
  if (answered === 0) throw new Error('no request was served');
  const text =
    `${answered} requests answered, ${counted.length} requests that a backend got ended without an answer ` +
    `(${lost.length} before excuses), ${stopped.name}`;
  return { isBroken: counted.length > 0, text };
}

function formatMs(ms) {
  return `${Math.round(ms)} ms`;
}

/** Keeps a connection to the node in its zone, and always one request behind the first unanswered one. */
class PipeliningClient {
  answered = 0;
  /** Requests whose connection ended without their answer. */
  unanswered = [];
  isStopping = false;
  sent = 0;

  constructor({ fleet, name, record }) {
    Object.assign(this, { fleet, name, record });
  }

  start() {
    this.open(this.fleet.nodes[0]);
    this.send();
    setTimeout(() => this.send(), SECOND_AFTER_MS);
  }

  open(node) {
    this.record(`${this.name} connects to ${node.name}`);
    this.connection = new Connection({
      ...node.front,
      onAnswer: (request, { headers, status }) => this.receive(request, status, headers),
      onClose: (pending, wasAnnounced) => this.handleClose(pending, wasAnnounced),
    });
  }

  send() {
    if (this.isStopping || this.connection.isClosing) return;
    const id = `${this.name}-${(this.sent += 1)}`;
    this.record(`${this.name} sends ${id}`);
    this.connection.send({ id, path: `/survey/${id}`, deadlineMs: DEADLINE_MS });
  }

  receive({ id }, status, { connection }) {
    const close = connection === undefined ? '' : `, connection: ${connection}`;
    this.record(`${this.name} gets ${status} to ${id}${close}`);
    if (status === 200) this.answered += 1;
    this.send();
  }

  handleClose(pending, wasAnnounced) {
    const closedMs = performance.now();
    const note = wasAnnounced ? 'announced' : 'not announced';
    this.record(`${this.name}: connection closed (${note}), ${pending.length} without an answer`);
    // Requests behind an answer that closes the connection count as not read.
    if (!wasAnnounced) for (const request of pending) this.unanswered.push({ closedMs, request });
    if (this.isStopping) return;
    // The balancer gives the next connection to a node that says it is ready.
    this.open(this.fleet.nodes[1]);
    this.send();
    setTimeout(() => this.send(), SECOND_AFTER_MS);
  }
}

async function openBackends(record) {
  const backends = [];
  for (const [index, zone] of [...ZONES, ...ZONES].entries()) {
    const id = `i-survey-${index}`;
    const options = { id, host: HOST, service: 'survey-svc', zone, slots: 4, record };
    backends.push(await Backend.open({ ...options, getWorkMs: () => WORK_MS }));
  }
  return backends;
}

function makeConfig() {
  const columns = ['name', 'host', 'prefix', 'kind', 'timeout_s', 'target_latency_s'];
  const route = ['survey-list', 'site.example', '/survey/', 'safe', ROUTE_TIMEOUT_S, 1.2];
  return {
    version: 'r3',
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 65536,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    routes: {
      columns: [...columns, 'max_attempts', 'priority', 'service'],
      rows: [[...route, 2, 2, 'survey-svc']],
    },
    services: {
      columns: ['name', 'health_path', 'max_conns'],
      rows: [['survey-svc', '/healthz', 390]],
    },
  };
}
