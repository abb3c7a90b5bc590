/** Applies draining of a target, and its return to service, to the intent in force. */
import { clone, create } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { Intent, TargetRequest } from '@parsleymux/schema';
import { IntentSchema, TargetAction, TargetState } from '@parsleymux/schema';

/**
 * Returns the intent with one target drained or returned. Throws NotFound, MalformedRequest.
 *
 * @example
 * const intent = applyTargetAction(inForce.intent, request);
 */
export function applyTargetAction(inForce: Intent | undefined, request: TargetRequest): Intent {
  const intent = inForce === undefined ? create(IntentSchema) : clone(IntentSchema, inForce);
  const target = intent.services
    .flatMap((service) => service.targets)
    .find((candidate) => candidate.address === request.target);
  if (target === undefined) {
    throw createRefusal(
      ResultCode.NotFound,
      `no service in force has the target "${request.target}"`,
    );
  }
  target.state = chooseTargetState(request.action);
  target.leaveAtMs = 0n;
  intent.note = request.note;
  return intent;
}

function chooseTargetState(action: TargetAction): TargetState {
  if (action === TargetAction.DRAIN) return TargetState.DRAINING;
  if (action === TargetAction.RETURN) return TargetState.SERVING;
  throw createRefusal(ResultCode.MalformedRequest, 'the action is "drain" or "return"');
}

function createRefusal(code: ResultCode, message: string): MuxError {
  return new MuxError({ code, message, runState: RunState.NotRun });
}
