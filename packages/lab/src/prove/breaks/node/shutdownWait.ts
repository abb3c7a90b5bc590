/** A node that is shutting down does not wait for requests in flight. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('node/dist/app/common/nodeState.js', 'NodeState', 'waitUntilIdle', () => {
  return () => Promise.resolve();
});
