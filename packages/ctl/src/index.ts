/** The command line for operators. */
export * from './cli/common/exitStatus.js';
export * from './main.js';
