/**
 * Preloaded into a node: SIGUSR2 partitions its control calls one way. Each signal advances to the
 * next state: none, outbound, none, inbound. The faults are injected into the process because peers
 * address each other directly, so no relay can be placed between them.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LooseMethod } from '../../../prove/breaks/node/wrapMethod.js';
import { executeLoose, wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const PeerPartition = { None: 'none', Outbound: 'outbound', Inbound: 'inbound' } as const;

type PeerPartition = (typeof PeerPartition)[keyof typeof PeerPartition];

const STATES: readonly PeerPartition[] = [
  PeerPartition.None,
  PeerPartition.Outbound,
  PeerPartition.None,
  PeerPartition.Inbound,
];

let signalCount = 0;

function getPartition(): PeerPartition {
  return STATES[signalCount % STATES.length] ?? PeerPartition.None;
}

/** Simulates a call over a partitioned path: no response until the timeout of the caller. */
async function waitForTimeout(timeoutMs: number): Promise<never> {
  await sleep(timeoutMs);
  throw new Error('the path is partitioned');
}

process.on('SIGUSR2', () => {
  signalCount += 1;
});

await wrapMethod('fleet/dist/peers/node/peerClients.js', 'PeerClients', 'execute', (original) => {
  return function (address, call, limits) {
    const send = call as LooseMethod;
    const sendOverPartition = async (client: unknown, options: { readonly timeoutMs: number }) => {
      const partition = getPartition();
      if (partition === PeerPartition.None)
        return await (send.call(this, client, options) as Promise<unknown>);
      // An inbound partition loses only the responses: the call itself arrives.
      if (partition === PeerPartition.Inbound) {
        void (send.call(this, client, options) as Promise<unknown>).catch(() => undefined);
      }
      return await waitForTimeout(options.timeoutMs);
    };
    return original.call(this, address, sendOverPartition, limits);
  };
});

const DISTRIBUTOR = 'config/dist/distribution/common/configDistributor.js';

await wrapMethod(DISTRIBUTOR, 'ConfigDistributor', 'receiveAnnouncement', (original) => {
  return function (revision, announcer) {
    if (getPartition() !== PeerPartition.Inbound) return original.call(this, revision, announcer);
    const current = executeLoose(this, 'getCurrent') as { readonly fleetRevision: number };
    return current.fleetRevision;
  };
});
