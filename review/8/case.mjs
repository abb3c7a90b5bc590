/** A machine starts again while backends leave a large service: does it see all of them leave? */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import {
  Backend,
  Connection,
  HAS_TROUBLE,
  Machine,
  Store,
  makeConfig,
  nowS,
  runCase,
  sleep,
} from '../rig-2/rig.mjs';

/** More rows than the 500 of one response of the store. */
const BOOKING_BACKENDS = 500;
const OTHER_BACKENDS = 60;
/** `scale_in` as on a day of the small site: 0.25 of the backends; they report it within half a second. */
const LEAVING_SHARE = 0.25;
const LEAVE_MS = 400;
/** The sheet: 4 ms an answer of the store. */
const STORE_ANSWER_MS = 4;
/** A leaving backend serves for `drain_s` and "a little longer (at times many seconds)", then exits. */
const DRAIN_S = 2;
const SERVES_MS = 8000;
/** A machine is in touch from `stable_window_s` after its start on. */
const STABLE_WINDOW_S = 3;
/** The machine starts this long before the backends leave if there is no disruption. */
const EARLY_START_MS = 5000;
/** `cure-booking` of the sheet, and as many lookups at the same service. */
const WORK_MS = 330;
const DEADLINE_MS = 3000;
const REQUESTS_PER_S = 120;
const PLAYED_MS = 10_000;
const HOST = 'booking.example';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ add, record }) => {
  const host = '127.0.0.1';
  const store = add(new Store());
  store.answerMs = STORE_ANSWER_MS;
  await store.open(host);
  const backends = [];
  for (let index = 0; index < BOOKING_BACKENDS + OTHER_BACKENDS; index += 1) {
    const service = index < BOOKING_BACKENDS ? 'booking' : 'materials';
    const backend = add(new Backend({ service, workMs: WORK_MS }));
    await backend.open(host);
    backends.push(backend);
    store.put('servers', backend.id, backend.entry());
  }
  const common = {
    host: HOST,
    timeout_s: DEADLINE_MS / 1000,
    target_latency_s: 1.2,
    priority: 1,
    max_attempts: 2,
    service: 'booking',
  };
  const routes = [
    { ...common, name: 'cure-booking', prefix: '/booking/', kind: 'unsafe' },
    { ...common, name: 'booking-list', prefix: '/list/', kind: 'safe' },
  ];
  store.put('op', 'config', makeConfig(3, routes));
  const options = { name: 'edge-1', ip: '127.0.0.2', isFirstStart: false };
  const machine = add(new Machine({ ...options, storeAddress: store.address }));
  await machine.prepare();
  store.observe = (path, { from, table }) => {
    if (path !== '/rows-get' || table !== 'servers') return;
    record.add(`the node reads the table of backends, page ${from === undefined ? 1 : 2}`);
  };
  machine.start();
  const startS = Number(nowS());
  record.add('the machine starts');
  if (!HAS_TROUBLE) await sleep(EARLY_START_MS);

  const count = BOOKING_BACKENDS * LEAVING_SHARE;
  const leaving = backends.slice(0, count);
  const ended = leaving.map(async (backend, index) => {
    await sleep((index * LEAVE_MS) / count);
    store.put('servers', backend.id, backend.entry('draining'));
    backend.ackS = Number(nowS());
    await sleep(SERVES_MS);
    store.remove('servers', backend.id);
    backend.close();
  });
  await machine.waitUntilReady();
  record.add('the machine is ready');
  const pending = [];
  const sentS = new Map();
  const results = [];
  const beginMs = performance.now();
  for (let number = 0; performance.now() - beginMs < PLAYED_MS; number += 1) {
    const connection = new Connection(machine.front);
    const id = `b${number}`;
    const isBooking = number % 2 === 0;
    const method = isBooking ? 'POST' : 'GET';
    const body = isBooking ? Buffer.alloc(300, 66) : undefined;
    const path = `/${isBooking ? 'booking' : 'list'}/${number}`;
    const request = { id, method, path, host: HOST, deadlineMs: DEADLINE_MS, body };
    sentS.set(id, Number(nowS()));
    const finish = async () => {
      results.push(await connection.send(request));
      connection.close();
    };
    pending.push(finish());
    await sleep(1000 / REQUESTS_PER_S);
  }
  await Promise.all([...pending, ...ended]);

  let late = 0;
  let cut = 0;
  for (const backend of leaving) {
    const found = backend.runs.filter(({ arrived, id }) => {
      const isLate = Number(arrived) > backend.ackS + DRAIN_S;
      return isLate && sentS.get(id) > startS + STABLE_WINDOW_S;
    });
    late += found.length;
    for (const { arrived, id, to } of found) {
      const afterS = (Number(arrived) - backend.ackS).toFixed(2);
      const status = results.find((result) => result.id === id)?.status;
      const exitS = backend.ackS + SERVES_MS / 1000;
      const isCut = status !== 200 && Number(to === '' ? Infinity : to) > exitS;
      if (isCut) cut += 1;
      record.add(
        `${id} reaches ${backend.id} ${afterS} s after the store took that it leaves: ${status}`,
      );
    }
  }
  record.add(`${cut} requests were at work at a backend when it exited`);
  record.add(
    `${results.length} requests, ${late} reached a leaving backend later than ${DRAIN_S} s`,
  );
  return late > 0;
});
