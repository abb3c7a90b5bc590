/** Targets that the configuration drains go on getting work. */
import { wrapMethod } from './wrapMethod.js';

await wrapMethod('routing/dist/target/common/targetHandle.js', 'TargetHandle', 'isUsable', () => {
  return () => true;
});
