/** The decisions: homes, queues, detection, retries, and the way to the targets. */
export * from './guard/common/dispatchGuard.js';
export * from './home/common/homeService.js';
export * from './ledger/common/ejectionLedger.js';
export * from './request/common/request.js';
export * from './transport/common/targetTransport.js';
