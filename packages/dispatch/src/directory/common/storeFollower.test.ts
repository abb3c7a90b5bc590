import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, createSilentLogger } from '@parsleymux/base';
import type { ITableChanges } from './authority.js';
import { AuthorityTable, StoreCallError, StoreFailure } from './authority.js';
import { FollowedTable } from './followedTable.js';
import { StoreFollower } from './storeFollower.js';

type Reply = ITableChanges<string> | StoreFailure | 'none';

/** Replies in turn; 'none' stays unanswered until the call is given up. */
class ScriptedTable extends AuthorityTable<string> {
  override readonly malformedRows = 0;
  readonly calls: string[] = [];

  constructor(private readonly replies: Reply[]) {
    super();
  }

  override readAll(signal: AbortSignal): Promise<ITableChanges<string>> {
    this.calls.push('all');
    return this.reply(signal);
  }

  override readChanges(
    after: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<ITableChanges<string>> {
    this.calls.push(`after ${after}`);
    return this.reply(signal);
  }

  private reply(signal: AbortSignal): Promise<ITableChanges<string>> {
    const reply = this.replies.shift() ?? 'none';
    if (typeof reply === 'object') return Promise.resolve(reply);
    if (reply !== 'none') return Promise.reject(new StoreCallError(reply, reply));
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        reject(new StoreCallError(StoreFailure.Reset, 'given up'));
      });
    });
  }
}

interface IBench {
  readonly clock: ManualClock;
  readonly source: ScriptedTable;
  readonly table: FollowedTable<string>;
  readonly follower: StoreFollower<string>;
}

function startBench(replies: Reply[], signal: AbortSignal): IBench {
  const clock = new ManualClock();
  const source = new ScriptedTable(replies);
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const follower = new StoreFollower({
    table,
    source,
    clock,
    pollTiming: { pauseMs: 10, waitMs: 1500 },
    log: createSilentLogger(),
    jitter: (delayMs) => delayMs,
    hasToRead: () => true,
    getMaxAgeMs: () => 0,
    isFirst: () => true,
    onDidRead: () => undefined,
  });
  void follower.run(signal);
  return { clock, source, table, follower };
}

/** A node whose peers tell it the news, until `lastToldMs`. */
async function countLooks(lastToldMs: number, untilMs: number): Promise<readonly number[]> {
  const stop = new AbortController();
  const clock = new ManualClock();
  const source = new ScriptedTable([]);
  const table = new FollowedTable<string>({ name: 't', clock, isSame: (a, b) => a === b });
  const looksMs: number[] = [];
  table.setAll({ version: 1, changes: [] }, 0);
  const follower = new StoreFollower({
    table,
    source,
    clock,
    pollTiming: { pauseMs: 850, waitMs: 0 },
    log: createSilentLogger(),
    jitter: (delayMs) => delayMs,
    hasToRead: () => {
      looksMs.push(clock.getMonotonicTime());
      return table.getAgeMs() > 1150;
    },
    getMaxAgeMs: () => 1150,
    isFirst: () => false,
    onDidRead: () => undefined,
  });
  void follower.run(stop.signal);
  for (let atMs = 850; atMs <= untilMs; atMs += 850) {
    await clock.advanceTo(atMs);
    if (atMs <= lastToldMs) table.freshMs = atMs;
  }
  assert.equal(source.calls.length, lastToldMs < untilMs ? 1 : 0);
  stop.abort();
  return looksMs;
}

test('a node that is told the news wakes only when its copy may have become too old', async () => {
  // Symptom: fleets of hundreds of nodes that nobody asks for anything keep their machines busy.
  // Sequence: each node looks 20 times a second whether one of three tables must be read, and finds
  // that it was told a moment ago. Cause: it looked at a fixed pace, not when there was a reason to.
  const looks = await countLooks(8500, 8500);
  assert.ok(looks.length <= 17, `${looks.length} looks in 8.5 s`);
});

test('a node that is told nothing any more reads as soon as its copy is too old', async () => {
  const looks = await countLooks(1700, 3400);
  assert.ok((looks.at(-1) ?? Infinity) <= 1700 + 1151 + 1);
});

const FIRST: ITableChanges<string> = { version: 3, changes: [{ key: 'config', value: 'old' }] };
const SECOND: ITableChanges<string> = { version: 5, changes: [{ key: 'config', value: 'new' }] };

test('a held read that a cut has swallowed is given up as soon as the cut shows elsewhere', async () => {
  // Symptom: nodes that nothing has happened to route by the former configuration for over 2 s.
  // Sequence: their follower is cut off while the store holds its read; the cut heals, the
  // configuration changes, the follower reads targets again and tells all that its news are fresh.
  // Cause: the held read had died with the cut and was taken for "nothing new".
  const stop = new AbortController();
  const { clock, follower, source, table } = startBench([FIRST, 'none', SECOND], stop.signal);
  await clock.advanceBy(100);
  assert.equal(follower.isLongPollPending(), true);
  follower.cancelRead();
  await clock.advanceBy(20);
  assert.equal(table.get('config'), 'new');
  assert.deepEqual(source.calls.slice(0, 3), ['all', 'after 3', 'after 3']);
  stop.abort();
});

test('a history that the store has dropped is read as a whole', async () => {
  const stop = new AbortController();
  const replies: Reply[] = [FIRST, StoreFailure.HistoryLost, SECOND];
  const { clock, source, table } = startBench(replies, stop.signal);
  await clock.advanceBy(100);
  assert.equal(table.get('config'), 'new');
  assert.deepEqual(source.calls.slice(0, 3), ['all', 'after 3', 'all']);
  stop.abort();
});

test('a store that is away is asked again after a pause, and the copy stays', async () => {
  const stop = new AbortController();
  const busy = [StoreFailure.Busy, StoreFailure.Silent, StoreFailure.Limited];
  const { clock, source, table } = startBench([FIRST, ...busy, SECOND], stop.signal);
  await clock.advanceBy(300);
  assert.equal(table.get('config'), 'old');
  assert.equal(source.calls.length, 2);
  await clock.advanceBy(1500);
  assert.equal(table.get('config'), 'new');
  stop.abort();
});

test('a read of changes that shows a newer era is followed by one of the whole table', async () => {
  // Guards against changes after a version that the store has given out again.
  const stop = new AbortController();
  const changes = { era: 2, version: 9, changes: [{ key: 'other', value: 'x' }] };
  const whole = { ...SECOND, era: 2, version: 2 };
  const { clock, source, table } = startBench([FIRST, changes, whole], stop.signal);
  await clock.advanceBy(100);
  assert.equal(table.get('config'), 'new');
  assert.equal(table.version, 2);
  assert.deepEqual(source.calls.slice(0, 4), ['all', 'after 3', 'all', 'after 2']);
  stop.abort();
});
