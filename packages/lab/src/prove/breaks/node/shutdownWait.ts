/** A node that is asked to leave does not wait for what is in flight. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('node/dist/app/common/nodeState.js', 'NodeState', 'waitUntilIdle', () => {
  return () => Promise.resolve();
});
