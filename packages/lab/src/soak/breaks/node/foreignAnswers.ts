/** Responses are matched to the waiting request without regard to their request identifier. */
const MODULE = new URL(
  '../../../../../../platform/dist/app/deploymentProtocol.js',
  import.meta.url,
);

interface ILoaded {
  readonly PLATFORM_PROTOCOL: { readonly targets: { getCorrelation: unknown } };
}

const { PLATFORM_PROTOCOL } = (await import(MODULE.href)) as ILoaded;
if (typeof PLATFORM_PROTOCOL.targets.getCorrelation !== 'function') {
  throw new Error('there is no getCorrelation in the protocol of targets');
}
PLATFORM_PROTOCOL.targets.getCorrelation = () => '';
