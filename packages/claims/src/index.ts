/** Idempotency keys: a request that is not idempotent runs at most once across the fleet. */
export * from './admin/common/claimAdmin.js';
export * from './attempt/common/attemptRegistry.js';
export * from './claim/common/answerCodec.js';
export * from './claim/common/claim.js';
export * from './claim/common/claimIdentity.js';
export * from './claim/common/keyTime.js';
export * from './expiry/common/claimSweeper.js';
export * from './expiry/common/retention.js';
export * from './guard/common/claimGuard.js';
export * from './guard/common/claimGuardOptions.js';
export * from './metrics/common/claimMetrics.js';
export * from './outcome/common/outcomeLookUp.js';
export * from './outcome/common/targetOutcomeLookUp.js';
export * from './peer/common/claimLookUpHandler.js';
export * from './peer/common/claimPeer.js';
export * from './store/common/claimStore.js';
export * from './store/common/groupCommitter.js';
