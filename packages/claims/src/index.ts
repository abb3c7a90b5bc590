/** Idempotency keys: a request that is not idempotent runs at most once across the fleet. */
export * from './attempt/common/attemptRegistry.js';
export * from './claim/common/answerCodec.js';
export * from './claim/common/claim.js';
export * from './claim/common/claimIdentity.js';
export * from './guard/common/claimGuard.js';
export * from './outcome/common/outcomeLookUp.js';
export * from './peer/common/claimLookUpHandler.js';
export * from './peer/common/claimPeer.js';
export * from './store/common/claimStore.js';
