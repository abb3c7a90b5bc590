import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { ITableChanges } from './authority.js';
import { AuthorityTable, StoreCallError, StoreFailure } from './authority.js';
import { FollowedTable } from './followedTable.js';
import type { IStoreFollowerOptions } from './storeFollower.js';
import { StoreFollower } from './storeFollower.js';

type Reply = ITableChanges<string> | StoreFailure | 'none' | 'begun';

/**
 * Returns the replies in order; for 'none', the call stays pending until it is aborted, and for 'begun' too,
 * but its response has begun.
 */
class ScriptedTable extends AuthorityTable<string> {
  override readonly malformedRows = 0;
  readonly calls: string[] = [];

  /** Called when the whole table is read. */
  onDidReadAll: () => Promise<void> = () => Promise.resolve();

  constructor(private readonly replies: Reply[]) {
    super();
  }

  override async readAll(signal: AbortSignal): Promise<ITableChanges<string>> {
    this.calls.push('all');
    await this.onDidReadAll();
    return this.reply(signal);
  }

  override readChanges(
    after: number,
    _waitMs: number,
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<string>> {
    this.calls.push(`after ${after}`);
    if (this.replies[0] === 'begun') onDidRespond?.();
    return this.reply(signal);
  }

  private reply(signal: AbortSignal): Promise<ITableChanges<string>> {
    const reply = this.replies.shift() ?? 'none';
    if (typeof reply === 'object') return Promise.resolve(reply);
    if (reply !== 'none' && reply !== 'begun')
      return Promise.reject(new StoreCallError(reply, reply));
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        reject(new StoreCallError(StoreFailure.Reset, 'aborted'));
      });
    });
  }
}

interface IFixture {
  readonly clock: ManualClock;
  readonly source: ScriptedTable;
  readonly table: FollowedTable<string>;
  readonly follower: StoreFollower<string>;
}

/** Starts a follower that reads all the time, on a clock of its own. */
function startFollower(
  makeSource: (clock: ManualClock) => AuthorityTable<string>,
  signal: AbortSignal,
  options: Partial<IStoreFollowerOptions<string>>,
): Omit<IFixture, 'source'> {
  const clock = new ManualClock();
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const follower = new StoreFollower({
    table,
    source: makeSource(clock),
    clock,
    pollTiming: { pauseMs: 10, waitMs: 0 },
    log: createSilentLogger(),
    jitter: (delayMs) => delayMs,
    hasToRead: () => true,
    getMaxAgeMs: () => 0,
    isFirst: () => true,
    onDidRead: () => undefined,
    ...options,
  });
  void follower.run(signal);
  return { clock, table, follower };
}

function startFixture(
  replies: Reply[],
  signal: AbortSignal,
  isStoreReachable = () => false,
): IFixture {
  const source = new ScriptedTable(replies);
  const pollTiming = { pauseMs: 10, waitMs: 1500 };
  const options = { pollTiming, isStoreReachable };
  return { ...startFollower(() => source, signal, options), source };
}

/** Runs a node that receives updates until `lastUpdateMs`; returns when it checked whether to read. */
async function runChecks(lastUpdateMs: number, untilMs: number): Promise<readonly number[]> {
  const stop = new AbortController();
  const clock = new ManualClock();
  const source = new ScriptedTable([]);
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const checksMs: number[] = [];
  table.setAll({ version: 1, changes: [] }, 0);
  const follower = new StoreFollower({
    table,
    source,
    clock,
    pollTiming: { pauseMs: 850, waitMs: 0 },
    log: createSilentLogger(),
    jitter: (delayMs) => delayMs,
    hasToRead: () => {
      checksMs.push(clock.getMonotonicTime());
      return table.getAgeMs() > 1150;
    },
    getMaxAgeMs: () => 1150,
    isFirst: () => false,
    onDidRead: () => undefined,
  });
  void follower.run(stop.signal);
  for (let atMs = 850; atMs <= untilMs; atMs += 850) {
    await clock.advanceTo(atMs);
    if (atMs <= lastUpdateMs) table.freshMs = atMs;
  }
  assert.equal(source.calls.length, lastUpdateMs < untilMs ? 1 : 0);
  stop.abort();
  return checksMs;
}

test('a node that receives updates wakes only when its copy may have become too old', async () => {
  // Guards against a busy fleet of idle nodes that check at a fixed interval, 20 times a second, whether one
  // of three tables has to be read.
  const checks = await runChecks(8500, 8500);
  assert.ok(checks.length <= 17, `${checks.length} checks in 8.5 s`);
});

test('a node that no longer receives updates reads as soon as its copy is too old', async () => {
  const checks = await runChecks(1700, 3400);
  assert.ok((checks.at(-1) ?? Infinity) <= 1700 + 1151 + 1);
});

const FIRST: ITableChanges<string> = { version: 3, changes: [{ key: 'config', value: 'old' }] };
const SECOND: ITableChanges<string> = { version: 5, changes: [{ key: 'config', value: 'new' }] };

test('a long poll that was lost in a network partition is cancelled and repeated', async () => {
  // Guards against routing by an outdated configuration after a follower was partitioned from the store
  // during a long poll: the lost poll must not count as "no changes".
  const stop = new AbortController();
  const { clock, follower, source, table } = startFixture([FIRST, 'none', SECOND], stop.signal);
  await clock.advanceBy(100);
  assert.equal(follower.isLongPollPending(), true);
  follower.cancelRead();
  await clock.advanceBy(20);
  assert.equal(table.get('config'), 'new');
  assert.deepEqual(source.calls.slice(0, 3), ['all', 'after 3', 'after 3']);
  stop.abort();
});

test('a long poll whose response is overdue is repeated once if the store can be reached', async () => {
  // Guards against a lost connection that hides changes for longer than they may take to be in force.
  for (const [isReachable, untilMs] of [
    [true, 3700],
    // Beyond that, the read is overdue in any case.
    [false, 2200],
  ] as const) {
    const stop = new AbortController();
    const replies: Reply[] = [FIRST, 'none', 'none'];
    const { clock, source } = startFixture(replies, stop.signal, () => isReachable);
    await clock.advanceBy(1850);
    assert.deepEqual(source.calls, [
      'all',
      ...(isReachable ? ['after 3', 'after 3'] : ['after 3']),
    ]);
    await clock.advanceTo(untilMs);
    assert.equal(source.calls.length, isReachable ? 3 : 2);
    stop.abort();
  }
});

test('the delay after a failed read ends when another table was read', async () => {
  // Guards against a follower that doesn't read the configuration for seconds after the store is back.
  const stop = new AbortController();
  const { clock, follower, table } = startFixture(
    [FIRST, StoreFailure.Silent, SECOND],
    stop.signal,
  );
  await clock.advanceBy(100);
  assert.equal(table.get('config'), 'old');
  follower.endRetryDelay();
  await clock.advanceBy(10);
  assert.equal(table.get('config'), 'new');
  stop.abort();
});

test('a long poll whose response has begun is no sign that nothing changed', async () => {
  // Guards against a copy that counts as fresh while a large change is on its way.
  const stop = new AbortController();
  const { clock, follower } = startFixture([FIRST, 'begun'], stop.signal);
  await clock.advanceBy(100);
  assert.equal(follower.isLongPollPending(), false);
  stop.abort();
});

test('a read whose response has begun is not cancelled', async () => {
  // Guards against a large configuration that is never received, as each failed read of the targets discards
  // what has arrived of it.
  const stop = new AbortController();
  const { clock, follower, source } = startFixture([FIRST, 'begun', SECOND], stop.signal);
  await clock.advanceBy(100);
  follower.cancelRead();
  await clock.advanceBy(100);
  assert.deepEqual(source.calls, ['all', 'after 3']);
  stop.abort();
});

/** A store that takes a given time for each response. */
class SlowTable extends AuthorityTable<string> {
  override readonly malformedRows = 0;
  calls = 0;
  abandoned = 0;
  version = 1;

  constructor(
    private readonly clock: ManualClock,
    private readonly delayMs: number,
  ) {
    super();
  }

  override readAll(signal: AbortSignal, onDidRespond?: () => void): Promise<ITableChanges<string>> {
    return this.respond(signal, onDidRespond);
  }

  override readChanges(
    _after: number,
    _waitMs: number,
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<string>> {
    return this.respond(signal, onDidRespond);
  }

  private async respond(
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<string>> {
    this.calls += 1;
    const { version } = this;
    await this.clock.sleep(this.delayMs, signal).catch(() => {
      this.abandoned += 1;
      throw new StoreCallError(StoreFailure.Reset, 'aborted');
    });
    onDidRespond?.();
    return { version, changes: [{ key: 'config', value: String(version) }] };
  }
}

function startSlowFixture(
  delayMs: number,
  signal: AbortSignal,
  options: Partial<IStoreFollowerOptions<string>> = {},
): Omit<IFixture, 'source'> & { readonly source: SlowTable } {
  let source: SlowTable | undefined;
  const makeSource = (clock: ManualClock) => (source = new SlowTable(clock, delayMs));
  const fixture = startFollower(makeSource, signal, options);
  assert.ok(source);
  return { ...fixture, source };
}

for (const delayMs of [500, 1000, 2000]) {
  test(`a store that takes ${delayMs} ms for each response is followed, and no response is discarded`, async () => {
    // Guards against reads that are all given up shortly before their responses, and repeated.
    const stop = new AbortController();
    const { clock, source, table } = startSlowFixture(delayMs, stop.signal);
    for (let change = 2; change < 10; change += 1) {
      source.version = change;
      await clock.advanceBy(delayMs * 2 + 100);
      assert.equal(table.get('config'), String(change));
    }
    assert.equal(source.abandoned, 0);
    stop.abort();
  });
}

test('a response is used although another read was sent beside it', async () => {
  const stop = new AbortController();
  let failures = 0;
  const onDidFail = () => {
    failures += 1;
  };
  const { clock, table } = startSlowFixture(900, stop.signal, { onDidFail });
  await clock.advanceTo(699);
  assert.equal(failures, 0);
  await clock.advanceTo(899);
  assert.equal(failures, 1);
  assert.equal(table.version, undefined);
  await clock.advanceTo(901);
  assert.equal(table.version, 1);
  stop.abort();
});

test('the whole table is read if the store no longer has its change history', async () => {
  const stop = new AbortController();
  const replies: Reply[] = [FIRST, StoreFailure.HistoryLost, SECOND];
  const { clock, source, table } = startFixture(replies, stop.signal);
  await clock.advanceBy(100);
  assert.equal(table.get('config'), 'new');
  assert.deepEqual(source.calls.slice(0, 3), ['all', 'after 3', 'all']);
  stop.abort();
});

test('a table that is read whole is as old as the begin of the read', async () => {
  // Guards against a copy that counts as fresh although it was read before its response arrived.
  const stop = new AbortController();
  const replies: Reply[] = [FIRST, StoreFailure.HistoryLost, SECOND];
  const { clock, source, table } = startFixture(replies, stop.signal);
  source.onDidReadAll = () => clock.sleep(300);
  await clock.advanceBy(10 + 300);
  stop.abort();
  assert.equal(table.version, SECOND.version);
  assert.equal(table.getAgeMs(), 300);
});

test('reads of an unavailable store are retried after a delay, and the copy is kept', async () => {
  const stop = new AbortController();
  const busy = [StoreFailure.Busy, StoreFailure.Silent, StoreFailure.Limited];
  const { clock, source, table } = startFixture([FIRST, ...busy, SECOND], stop.signal);
  await clock.advanceBy(300);
  assert.equal(table.get('config'), 'old');
  assert.equal(source.calls.length, 2);
  await clock.advanceBy(1500);
  assert.equal(table.get('config'), 'new');
  stop.abort();
});

test('a read of changes that returns an older epoch or version is followed by a read of the whole table', async () => {
  // Guards against a copy that never changes, because each response counts as a late one.
  const first = { ...FIRST, era: 2 };
  const second = { ...SECOND, era: 2 };
  const empty = { version: 9, era: 1, changes: [] };
  for (const older of [empty, { ...empty, era: 2, version: 2 }]) {
    const stop = new AbortController();
    const { clock, source, table } = startFixture([first, older, second], stop.signal);
    await clock.advanceBy(100);
    assert.equal(table.get('config'), 'new');
    assert.deepEqual(source.calls.slice(0, 4), ['all', 'after 3', 'all', 'after 5']);
    stop.abort();
  }
});

test('a read of changes that returns a newer epoch is followed by a read of the whole table', async () => {
  // Guards against applying changes after a version that the restored store assigned a second time.
  const stop = new AbortController();
  const changes = { era: 2, version: 9, changes: [{ key: 'other', value: 'x' }] };
  const whole = { ...SECOND, era: 2, version: 2 };
  const { clock, source, table } = startFixture([FIRST, changes, whole], stop.signal);
  await clock.advanceBy(100);
  assert.equal(table.get('config'), 'new');
  assert.equal(table.version, 2);
  assert.deepEqual(source.calls.slice(0, 4), ['all', 'after 3', 'all', 'after 2']);
  stop.abort();
});
