import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listViolations } from '../test/scenarioRuns.js';

test('restarts in series leave the retries of a service within the limit', async () => {
  // Symptom: targets that shed half of their requests got more retries than the fleet may send, by a
  // few in a hundred. Sequence: nodes are restarted five at a time; the home of the service is among
  // them, the next home too, and the first one comes back; all the while every second attempt is
  // wanted. Cause: each home counted from nothing, and was given half of the burst anew.
  // Proof: second attempts of one window, grouped by the home that granted them: 691, 162 and 11 with
  // seed 1 (864, allowed 836), 1, 271, 186, 145 and 293 with seed 2 (896, allowed 816); each home
  // stayed within the allowance that it reckoned.
  assert.deepEqual(await listViolations('rolling-restarts', 'retries', [1, 2]), []);
});

test('enough targets are in use at the moment at which much fails at once', async () => {
  // Symptom: two thirds of the sound targets had no request for 2 s while a tenth of all requests
  // failed. Sequence: a calm load keeps to the targets to which connections are open; then all nodes
  // lose power, and what is under way is lost. Cause: requests were spread over more targets only
  // once failures had been counted, and the window of the floor had begun before that.
  // Proof: no request of the window had failed in greater numbers before the loss of power.
  // This service has bookings alone: each that tries a doubted target may be lost, so those that
  // recovered stayed unused. Without newer evidence, bookings kept to a third of the targets.
  assert.deepEqual(await listViolations('power-loss', 'floor', [1, 2]), []);
});

test('a few reads keep enough targets in use for the moment at which much fails at once', async () => {
  // The same, with 12 short reads a second beside 290 bookings: they look again at targets that were
  // doubted and have recovered. Proof, counted at the targets of one day: of 24 ready ones without
  // requests 19 had failed when they were asked last; a few seconds later 6 failed.
  assert.deepEqual(await listViolations('power-loss-mixed', 'floor', [1, 2]), []);
});

test('hundreds of nodes keep enough targets in use through a burst that ends in a loss of power', async () => {
  // Symptom: as above, on 293 nodes. Sequence: nodes are restarted in batches, bookings' targets shed
  // half of what comes, a burst follows, and all nodes lose power in it. Cause: as above; a burst
  // alone does not fill the slots, so targets that recovered stay unused through it.
  // Proof: of 8 seeds this one was below the floor; with bookings that try targets none is.
  assert.deepEqual(await listViolations('hundreds-of-nodes', 'floor', [7]), []);
});
