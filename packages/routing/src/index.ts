/** The decisions: homes, queues, detection, retries, and the way to the targets. */
export * from './guard/common/dispatchGuard.js';
export * from './guard/common/passThroughGuard.js';
export * from './home/common/homeOptions.js';
export * from './home/common/homeService.js';
export * from './home/common/localHomeService.js';
export * from './ledger/common/ejectionLedger.js';
export * from './ledger/common/ejectionRow.js';
export * from './ledger/common/floorArithmetic.js';
export * from './ledger/common/tableEjectionLedger.js';
export * from './request/common/request.js';
export * from './transport/common/targetTransport.js';
export * from './transport/common/hopHeaders.js';
export * from './transport/node/httpTargetTransport.js';
