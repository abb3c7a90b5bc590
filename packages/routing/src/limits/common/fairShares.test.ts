import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FairShares } from './fairShares.js';

function reserveAll(shares: FairShares, member: string): number {
  let count = 0;
  while (shares.reserve(member, 1) !== undefined) count += 1;
  return count;
}

test('a single member can reserve the whole capacity', () => {
  assert.equal(reserveAll(new FairShares({ capacity: 100 }), 'a'), 100);
});

// Without shares, a member that floods the node exhausts the capacity, and callers of a member that
// sends little are refused.
test('a flood from one member leaves another member its share', () => {
  const shares = new FairShares({ capacity: 100 });
  assert.ok(shares.reserve('quiet', 1) !== undefined);
  assert.equal(reserveAll(shares, 'loud'), 50);
  assert.equal(reserveAll(shares, 'quiet'), 49);
});

test('releasing a reservation twice counts once', () => {
  const shares = new FairShares({ capacity: 2 });
  const release = shares.reserve('a', 2);
  release?.();
  release?.();
  assert.equal(shares.getTotal(), 0);
});

test('the capacity is never exceeded and every reservation is released, in any order', () => {
  const steps = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 0, max: 40 })));
  const property = fc.property(steps, (reservations) => {
    const shares = new FairShares({ capacity: 100 });
    const releases = reservations.map(([member, amount]) => shares.reserve(member, amount));
    assert.ok(shares.getTotal() <= 100);
    for (const release of releases) release?.();
    assert.equal(shares.getTotal(), 0);
  });
  fc.assert(property, { seed: 11 });
});
