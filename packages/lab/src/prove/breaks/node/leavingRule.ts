/** Targets that the configuration drains continue to receive work. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/target/common/targetHandle.js', 'TargetHandle', 'isUsable', () => {
  return () => true;
});
