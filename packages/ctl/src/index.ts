/** The operators' command line. */
export * from './cli/common/exitStatus.js';
export * from './main.js';
