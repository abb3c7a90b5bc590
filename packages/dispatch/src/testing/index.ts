/** Fixtures for the tests and benchmarks of other packages. */
export { makeCatalog, makeRoutes } from '../test/builders.js';
export * from '../test/distributionFleet.js';
