/** The platform's table service, object store and VM list. */
export * from './objects/common/objectStore.js';
export * from './protocol/common/platformError.js';
export * from './protocol/common/platformProtocol.js';
export * from './protocol/common/platformServices.js';
export * from './protocol/node/httpPlatform.js';
export * from './table/common/tableService.js';
export * from './vmList/common/vmList.js';
