/** Deadlines of requests are extended by half a minute beyond the route's timeout. */
import type { LooseObject } from '../../../prove/breaks/node/wrapMethod.js';
import { wrapMethod } from '../../../prove/breaks/node/wrapMethod.js';

const MODULE = 'dispatch/dist/entry/common/requestRunner.js';
const EXTRA_MS = 30_000;

await wrapMethod(MODULE, 'RequestRunner', 'run', (original) => {
  return function (request, signal) {
    const { deadlineMs } = request as { readonly deadlineMs: number };
    const extended = { ...(request as LooseObject), deadlineMs: deadlineMs + EXTRA_MS };
    return original.call(this, extended, signal);
  };
});
