import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '@parsleymux/base';
import { makeRoute } from '../../test/builders.js';
import { DestinationPicker } from './destinationPicker.js';
import { RouteTable } from './routeTable.js';

const table = new RouteTable([
  makeRoute({ name: 'all', prefix: '/' }),
  makeRoute({ name: 'orders', prefix: '/orders/' }),
  makeRoute({ name: 'open', prefix: '/orders/open/' }),
  makeRoute({ name: 'other', host: 'stock.example', prefix: '/levels/' }),
]);

function findName(host: string, path: string): string {
  const match = table.match(host, path);
  return match.kind === 'found' ? match.route.name : match.kind;
}

test('the longest prefix of the path wins, host names ignore case and port', () => {
  assert.equal(findName('booking.example', '/orders/open/7'), 'open');
  assert.equal(findName('Booking.Example:80', '/orders/7?open=/orders/open/'), 'orders');
  assert.equal(findName('booking.example', '/orders'), 'all');
  assert.equal(findName('stock.example', '/levels/3'), 'other');
});

test('unknown hosts and paths are told apart', () => {
  assert.equal(findName('nobody.example', '/'), 'unknown-host');
  assert.equal(findName('stock.example', '/level'), 'unknown-path');
  assert.equal(findName('stock.example', 'no-path'), 'unknown-path');
});

test('requests divide among destinations by weight', () => {
  const picker = new DestinationPicker(new SeededRandom(5));
  const route = makeRoute({
    destinations: [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ],
  });
  let chosen = 0;
  for (let index = 0; index < 10_000; index += 1) if (picker.pick(route) === 'new') chosen += 1;
  assert.ok(chosen > 900 && chosen < 1100, `${chosen} of 10,000 went to a weight of 10 in 100`);
});
