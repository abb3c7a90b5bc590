/** Fakes for tests of this package and of packages that depend on it. Not part of the public interface. */
export * from './instantClock.js';
export * from './intents.js';
export * from './memoryPlatform.js';
