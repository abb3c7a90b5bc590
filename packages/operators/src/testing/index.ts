/** Test fixtures of this package and of the command line. Not part of the public interface. */
export * from './apiFixture.js';
