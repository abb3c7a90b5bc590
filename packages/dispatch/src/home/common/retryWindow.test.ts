import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { IRetryCounts } from './peerRetryCounts.js';
import { RetryWindow } from './retryWindow.js';

const WINDOW_MS = 10_000;
const LONG_AGO_MS = -60_000;

function openUnranked(): RetryWindow {
  return new RetryWindow({ windowMs: WINDOW_MS, ratio: 0.2, burst: 100 });
}

function openWindow(watchedSinceMs = LONG_AGO_MS): RetryWindow {
  const window = openUnranked();
  window.setReceivingSince(watchedSinceMs);
  return window;
}

/** Spends all that the window allows at one moment. */
function spendAll(window: RetryWindow, nowMs: number): number {
  let spent = 0;
  for (; window.isOpen(nowMs); spent += 1) window.recordRetry(nowMs);
  return spent;
}

function makeCounts(window: RetryWindow, home: string, nowMs: number, sequence = 1n): IRetryCounts {
  return { ...window.listOwn(nowMs), home, sequence, countedMs: nowMs };
}

test('a home that takes over goes on counting where the former one stopped', () => {
  // Symptom: a service gets several bursts of retries within one window. Sequence: its home stops and
  // the next one takes over. Cause: each home counted from nothing.
  const former = openWindow();
  for (let index = 0; index < 100; index += 1) former.recordRequest(1000);
  assert.equal(spendAll(former, 1000), 0.95 * 0.2 * 100 + 50);
  const next = openWindow();
  next.recordPeerCounts([makeCounts(former, 'former', 1000)], true, 1000);
  assert.equal(spendAll(next, 1500), 0);
  assert.equal(next.countPeerRetries(1500), 69);
  next.recordRequest(1500);
  assert.ok(spendAll(next, 1000 + WINDOW_MS + 500) >= 50, 'counts leave the window with time');
});

test('a home that can not know what was sent before it has a tenth of a burst', () => {
  assert.equal(spendAll(openUnranked(), 0), 0, 'it would not be told');
  const started = openWindow(0);
  assert.equal(spendAll(started, 5000), 5, 'the one that was at work may be gone');
  assert.equal(spendAll(openWindow(0), WINDOW_MS), 50, 'nobody told anything for a window');
  started.recordPeerCounts([], true, 5000);
  assert.equal(spendAll(started, 5000), 45);
});

test('what a home was told by one that does not know all is no ground for a burst', () => {
  const window = openWindow(0);
  window.recordPeerCounts([], false, 1000);
  assert.equal(spendAll(window, 1000), 5);
});

test('retries are paid by requests from the first moment on', () => {
  const window = openUnranked();
  for (let index = 0; index < 100; index += 1) window.recordRequest(0);
  assert.equal(spendAll(window, 0), 19);
});

test('the newest counts of a home replace its former ones, whoever brings them', () => {
  const home = openWindow();
  home.recordRetry(0);
  const early = makeCounts(home, 'home', 0, 1n);
  home.recordRetry(600);
  const late = makeCounts(home, 'home', 600, 2n);
  const window = openWindow();
  window.recordPeerCounts([late], true, 600);
  window.recordPeerCounts([early], true, 700);
  assert.equal(window.countPeerRetries(700), 2);
});
