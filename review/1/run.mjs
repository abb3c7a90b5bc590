/**
 * A node is killed and started again while its requests wait in the queue of their home, which is also the home
 * of another service. Looks for requests that a backend of another service than their route's runs.
 */
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { Backend } from '../standins/backend.mjs';
import { Connection } from '../standins/client.mjs';
import { Fleet } from '../standins/fleet.mjs';
import { runCase, sleep } from '../standins/record.mjs';
import { Store } from '../standins/store.mjs';

const HOST = '127.0.0.1';
const ZONES = ['hala-a', 'hala-b', 'hala-c'];
/** One more than there are nodes, so that one node is the home of two of them. */
const SERVICES = ['survey-svc', 'booking-svc', 'materials-svc', 'depot-svc'];
/** Two kinds of requests, with the figures of the sheet; times in ms. */
const STOCK = {
  name: 'stock-check',
  kind: 'safe',
  workMs: 820,
  aimMs: 2500,
  timeoutMs: 4000,
  deadlineMs: 6000,
};
const BOOKING = {
  name: 'cure-booking',
  kind: 'unsafe',
  workMs: 330,
  aimMs: 1200,
  timeoutMs: 2000,
  deadlineMs: 3000,
};
const KINDS = [STOCK, BOOKING];
const BACKENDS = 6;
const SLOTS = 4;
/** Work differs by up to this share from its mean. */
const SPREAD = 0.3;
/** What clients ask for, as a share of what the backends of a service can do. */
const LOAD = 1.3;
/** Time for the queues to fill, in ms. */
const FILL_MS = 6000;
/** Requests of the clients in the zone of the node that is killed, before and after. */
const ARRIVALS = 36;
const RESTART_MS = 300;
/** How often the homes are asked for, until all nodes agree on them. */
const MAX_CHECKS = 8;

/** With TROUBLE=0 the same is done without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

void runCase({ directory: import.meta.dirname, hasTrouble }, async ({ record }) => {
  const world = await openWorld(record);
  try {
    const { home, services } = await findSharedHome(world);
    const [stock, booking] = services;
    world.services = new Map([
      [STOCK, stock],
      [BOOKING, booking],
    ]);
    world.store.put('op', 'config', makeConfig('r4', [...world.services]));
    record(`r4: stock-check to ${stock}, cure-booking to ${booking}; their home is ${home.name}`);
    await sleep(3000);
    return await play(world, home, hasTrouble);
  } finally {
    await world.close();
  }
});

async function openWorld(record) {
  const store = await Store.open(HOST);
  const backends = [];
  const probes = SERVICES.map((service) => [{ ...BOOKING, name: `probe-${service}` }, service]);
  store.put('op', 'config', makeConfig('r3', probes));
  for (const service of SERVICES) {
    for (let number = 0; number < BACKENDS; number += 1) {
      const zone = ZONES[number % ZONES.length];
      const id = `i-${service}-${number}`;
      const options = { id, host: HOST, service, zone, slots: SLOTS, record, getWorkMs };
      backends.push(await Backend.open(options));
    }
  }
  for (const backend of backends) store.put('servers', backend.id, backend.entry);
  const fleet = new Fleet({ record, store });
  const close = async () => {
    await fleet.stop();
    for (const backend of backends) backend.close();
    store.close();
  };
  try {
    await fleet.start(ZONES);
    await sleep(3500);
  } catch (error) {
    await close();
    throw error;
  }
  return { backends, close, fleet, probes, record, sent: new Map(), store };
}

/** The work of a backend depends on the kind of request. */
function getWorkMs({ path }) {
  const { workMs } = path.startsWith('/stock-check/') ? STOCK : BOOKING;
  return workMs * (1 - SPREAD + 2 * SPREAD * Math.random());
}

/** Sends a request for each service to all nodes, and reads in their logs which node is its home. */
async function findSharedHome(world) {
  const { fleet, probes, record } = world;
  for (let check = 0; check < MAX_CHECKS; check += 1) {
    for (const node of fleet.nodes) for (const [kind] of probes) send(world, node, kind);
    await sleep(1200);
    const views = fleet.nodes.map(({ log }) => SERVICES.map((service) => readHome(log, service)));
    record(`homes of ${SERVICES.join(', ')}: ${views.map((homes) => homes.join(', ')).join('; ')}`);
    const [homes] = views;
    const isAgreed = views.every((view) => view.join() === homes.join()) && homes.every(Boolean);
    const address = homes.find((one, index) => homes.indexOf(one) !== index);
    const home = fleet.nodes.find(({ ip }) => address?.startsWith(`${ip}:`));
    const services = SERVICES.filter((_, index) => homes[index] === address);
    if (isAgreed && home !== undefined) return { home, services };
  }
  throw new Error('the nodes do not agree on the homes');
}

/** The home of the last request for a service in a node's log. */
function readHome(log, service) {
  const lines = log.split('\n').filter((text) => text.includes('"message":"request"'));
  const line = lines.findLast((text) => text.includes(`"service":"${service}"`));
  return line === undefined ? undefined : JSON.parse(line).attempts[0]?.home;
}

/** The clients of the home's zone keep all backends busy; those of one other zone come later. */
async function play(world, home, hasTrouble) {
  const { fleet, record } = world;
  record(`the home of both services is ${home.name}`);
  const streams = KINDS.map((kind) => {
    return startStream((LOAD * BACKENDS * SLOTS) / kind.workMs, () => send(world, home, kind));
  });
  await sleep(FILL_MS);
  await playZone(
    world,
    fleet.nodes.findIndex((node) => node !== home),
    hasTrouble,
  );
  await sleep(4000);
  for (const stream of streams) stream.stop();
  await sleep(2500);
  return judge(world);
}

async function playZone(world, index, hasTrouble) {
  const { fleet, record } = world;
  await sendClump(10, () => send(world, fleet.nodes[index], STOCK));
  await sleep(100);
  if (hasTrouble) fleet.signal(fleet.nodes[index], 'SIGKILL');
  await sleep(RESTART_MS);
  if (hasTrouble) fleet.startNode(index, ZONES[index], false);
  await fleet.waitForReady(fleet.nodes[index]);
  record(`${fleet.nodes[index].name} is ready`);
  await sendClump(5, () => send(world, fleet.nodes[index], BOOKING));
}

function judge({ backends, record, sent, services }) {
  let wrong = 0;
  for (const { id: backend, requests, service } of backends) {
    for (const { id, startMs } of requests) {
      const { kind, status } = sent.get(id);
      const own = services.get(kind);
      if (startMs === undefined || own === undefined || own === service) continue;
      wrong += 1;
      const answer = status ?? 'no answer';
      record(`${id}, for ${own}, was run by ${backend}; its client got ${answer}`);
    }
  }
  const answered = [...sent.values()].filter(({ status }) => status === 200).length;
  if (answered === 0) throw new Error('no request was served');
  const text =
    `${sent.size} requests, ${answered} answered with 200, ` +
    `${wrong} run by another service than their route's`;
  return { isBroken: wrong > 0, text };
}

/** Sends on average `perMs` requests per ms, independently of each other. */
function startStream(perMs, sendOne) {
  let isOver = false;
  const next = () => {
    if (isOver) return;
    sendOne();
    setTimeout(next, -Math.log(1 - Math.random()) / perMs);
  };
  next();
  return { stop: () => (isOver = true) };
}

async function sendClump(gapMs, sendOne) {
  for (let number = 0; number < ARRIVALS; number += 1) {
    sendOne();
    await sleep(gapMs);
  }
}

function send({ record, sent }, node, kind) {
  const id = `${kind.name}-${sent.size + 1}`;
  const isSafe = kind.kind === 'safe';
  const body = isSafe ? '' : `{"order":"${id}"}`;
  const request = { id, kind, method: isSafe ? 'GET' : 'POST', body };
  sent.set(id, request);
  record(`${id} to ${node.name}`);
  const connection = new Connection({
    ...node.front,
    onAnswer: (_, answer) => {
      request.status = answer.status;
      record(`${id} gets ${answer.status} ${answer.body.trim()}`);
      connection.close();
    },
  });
  setTimeout(() => connection.close(), kind.deadlineMs);
  connection.send({ ...request, path: `/${kind.name}/${id}`, deadlineMs: kind.deadlineMs });
}

function makeConfig(version, kinds) {
  const columns = ['name', 'host', 'prefix', 'kind', 'timeout_s', 'target_latency_s'];
  const rows = kinds.map(([{ aimMs, kind, name, timeoutMs }, service]) => {
    const times = [timeoutMs / 1000, aimMs / 1000];
    return [name, 'site.example', `/${name}/`, kind, ...times, 2, 1, service];
  });
  return {
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    routes: { columns: [...columns, 'max_attempts', 'priority', 'service'], rows },
    services: {
      columns: ['name', 'health_path', 'max_conns'],
      rows: SERVICES.map((name) => [name, '/healthz', 390]),
    },
  };
}
