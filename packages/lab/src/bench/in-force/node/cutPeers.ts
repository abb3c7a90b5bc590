/**
 * Loaded by a node before anything else: cuts its control calls one way on SIGUSR2. Each signal
 * goes on to the next state: whole, mute, whole, deaf. Peers address each other directly, so no
 * relay can stand between them.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LooseMethod } from '../../../prove/breaks/node/wrapMethod.js';
import { executeLoose, wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const PeerCut = { Whole: 'whole', Mute: 'mute', Deaf: 'deaf' } as const;

type PeerCut = (typeof PeerCut)[keyof typeof PeerCut];

const STATES: readonly PeerCut[] = [PeerCut.Whole, PeerCut.Mute, PeerCut.Whole, PeerCut.Deaf];

let signals = 0;

function getCut(): PeerCut {
  return STATES[signals % STATES.length] ?? PeerCut.Whole;
}

/** What a call over a cut path looks like to the caller: silence until its own timeout. */
async function waitInSilence(timeoutMs: number): Promise<never> {
  await sleep(timeoutMs);
  throw new Error('the path is cut');
}

process.on('SIGUSR2', () => {
  signals += 1;
});

await wrapMethod('fleet/dist/peers/node/peerClients.js', 'PeerClients', 'execute', (original) => {
  return function (address, call, limits) {
    const send = call as LooseMethod;
    const sendOverCut = async (client: unknown, options: { readonly timeoutMs: number }) => {
      const cut = getCut();
      if (cut === PeerCut.Whole)
        return await (send.call(this, client, options) as Promise<unknown>);
      // Of a deaf node only the answers are lost: the call itself arrives.
      if (cut === PeerCut.Deaf) {
        void (send.call(this, client, options) as Promise<unknown>).catch(() => undefined);
      }
      return await waitInSilence(options.timeoutMs);
    };
    return original.call(this, address, sendOverCut, limits);
  };
});

const DISTRIBUTOR = 'config/dist/distribution/common/configDistributor.js';

await wrapMethod(DISTRIBUTOR, 'ConfigDistributor', 'receiveAnnouncement', (original) => {
  return function (revision, announcer) {
    if (getCut() !== PeerCut.Deaf) return original.call(this, revision, announcer);
    const current = executeLoose(this, 'getCurrent') as { readonly fleetRevision: number };
    return current.fleetRevision;
  };
});
