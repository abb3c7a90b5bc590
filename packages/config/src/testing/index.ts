/** Fakes for the tests of this package and of those above it. Not part of the public interface. */
export * from './instantClock.js';
export * from './intents.js';
export * from './memoryPlatform.js';
