/** Answers are taken for those of the request that waits, whatever identifier they bear. */
const MODULE = new URL(
  '../../../../../../platform/dist/app/deploymentProtocol.js',
  import.meta.url,
);

interface ILoaded {
  readonly USERS_PROTOCOL: { readonly targets: { getCorrelation: unknown } };
}

const { USERS_PROTOCOL } = (await import(MODULE.href)) as ILoaded;
if (typeof USERS_PROTOCOL.targets.getCorrelation !== 'function') {
  throw new Error('there is no getCorrelation in the protocol of targets');
}
USERS_PROTOCOL.targets.getCorrelation = () => '';
