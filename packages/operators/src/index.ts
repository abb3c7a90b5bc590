/** The administration API: operators, their keys, plans, status, claims and audit. */
export * from './access/common/accessControl.js';
export * from './access/common/memberLimiter.js';
export * from './access/common/rateLimiter.js';
export * from './api/node/adminApi.js';
export * from './audit/common/auditLog.js';
export * from './burn/common/burnCounts.js';
export * from './burn/common/burnMerger.js';
export * from './burn/common/burnPage.js';
export * from './burn/common/burnReader.js';
export * from './burn/common/burnRecorder.js';
export * from './burn/common/burnRows.js';
export * from './claims/common/claimSettler.js';
export * from './keys/common/keyRow.js';
export * from './keys/common/keyStore.js';
export * from './keys/common/operatorKey.js';
export * from './status/common/statusProvider.js';
export * from './targets/common/targetAction.js';
