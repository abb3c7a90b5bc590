/** Fakes for the tests of this package and of the command line's. Not part of the public interface. */
export * from './apiFixture.js';
