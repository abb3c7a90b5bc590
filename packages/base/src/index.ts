/** Basic services that all other packages use. */
export * from './clock/common/clock.js';
export * from './clock/common/durations.js';
export * from './clock/common/instant.js';
export * from './clock/common/manualClock.js';
export * from './clock/node/systemClock.js';
export * from './error/common/muxError.js';
export * from './event/common/event.js';
export * from './hash/common/hasher.js';
export * from './http/node/listener.js';
export * from './invariant/common/invariantRegistry.js';
export * from './lifecycle/common/disposable.js';
export * from './lifecycle/common/joinedSignal.js';
export * from './log/node/logger.js';
export * from './random/common/randomSource.js';
export * from './result/common/resultCode.js';
export * from './result/common/resultTable.js';
export * from './result/common/retryAfter.js';
