/** Fixtures for the tests of other packages. */
export * from '../test/builders.js';
export * from '../test/loadRun.js';
