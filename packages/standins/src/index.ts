/** Stand-ins for the platform, the targets and the network between them, for tests and the lab. */
export * from './control/common/faultSettings.js';
export * from './link/node/faultyLink.js';
export * from './metadata/common/metadataRows.js';
export * from './metadata/common/metadataTexts.js';
export * from './metadata/node/metadataStandIn.js';
export * from './platform/common/platformFaults.js';
export * from './platform/common/versionedTable.js';
export * from './platform/node/platformStandIn.js';
export * from './server/node/loopbackServer.js';
export * from './target/common/executionLog.js';
export * from './target/common/serviceTime.js';
export * from './target/common/slotQueue.js';
export * from './target/common/standInResponse.js';
export * from './target/common/targetConfig.js';
export * from './target/node/targetControl.js';
export * from './target/node/targetStandIn.js';
