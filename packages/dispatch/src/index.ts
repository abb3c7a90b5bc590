/** Dispatching directly: homes grant targets, entries send, followers keep everybody up to date. */
export * from './app/node/directNode.js';
export * from './catalog/common/catalog.js';
export * from './catalog/common/routeTable.js';
export * from './directory/common/authority.js';
export * from './directory/common/followedTable.js';
export * from './entry/common/attemptOutcome.js';
export * from './entry/common/callerProtocol.js';
export * from './grants/common/grant.js';
export * from './home/common/serviceBook.js';
export * from './log/node/lineSink.js';
