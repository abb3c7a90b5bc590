/** Configuration: intents, plans, and their distribution to every node. */
export * from './distribution/common/appliedConfig.js';
export * from './distribution/common/configDistributor.js';
export * from './distribution/common/configPeer.js';
export * from './fleetConfig/common/fleetConfig.js';
export * from './intents/common/intentValidator.js';
export * from './intents/common/targetAddress.js';
export * from './layout/common/auditRow.js';
export * from './layout/common/rowKeys.js';
export * from './layout/common/rows.js';
export * from './plans/common/capacity.js';
export * from './plans/common/planBuilder.js';
export * from './plans/common/planErrors.js';
export * from './plans/common/planLimits.js';
export * from './plans/common/planRepository.js';
export * from './plans/common/planStore.js';
export * from './plans/common/storeRetry.js';
export * from './routes/common/routeTable.js';
