/** The node: entry, home, target observer and administration API in one process. */
export * from './app/node/main.js';
export * from './app/node/muxNode.js';
