/** Older configurations replace newer ones. */
import { executeLoose, wrapMethod } from './wrapMethod.js';

const MODULE = 'config/dist/distribution/common/appliedConfig.js';

await wrapMethod(MODULE, 'AppliedConfig', 'isNewer', () => (config, known) => {
  const received = config as { readonly memberRevision: bigint };
  const current = known as { readonly memberRevision: bigint } | undefined;
  return received.memberRevision !== current?.memberRevision;
});
await wrapMethod(MODULE, 'AppliedConfig', 'chooseRevision', () => (_current, received) => received);

const DISTRIBUTOR = 'config/dist/distribution/common/configDistributor.js';

interface IStoreReader {
  fetchHead(signal: unknown): Promise<number>;
  fetchAfter(after: number, head: number, known: unknown, signal: unknown): Promise<unknown>;
}

// The distributor ignores a lower head before it fetches anything; this applies whatever is read.
await wrapMethod(DISTRIBUTOR, 'ConfigDistributor', 'fetchFromStore', () => {
  return async function (signal) {
    const reader = this.reader as IStoreReader;
    const head = await reader.fetchHead(signal).catch(() => undefined);
    if (head === undefined) return false;
    const snapshot = await reader.fetchAfter(0, head, new Map(), signal).catch(() => undefined);
    if (snapshot === undefined) return false;
    executeLoose(this, 'applySnapshot', snapshot);
    return true;
  };
});
