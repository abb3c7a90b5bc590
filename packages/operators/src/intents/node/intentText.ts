/** The text of an intent, checked against the schema. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';
import { parseBody } from '../../api/common/adminRoute.js';

/** An answer that lists every fault of a huge intent helps nobody. */
const MAX_PROBLEM_LENGTH = 4000;

/**
 * The intent in a text. Throws MalformedIntent.
 *
 * @example
 * const intent = parseIntentText('{ "member": "dobrescu" }');
 */
export function parseIntentText(text: string): Intent {
  try {
    return parseBody(IntentSchema, text, ResultCode.MalformedIntent);
  } catch (error) {
    if (error instanceof MuxError) throw createIntentError(error.summary);
    throw error;
  }
}

/**
 * The refusal of an intent, with its faults cut to a readable length.
 *
 * @example
 * throw createIntentError(problem);
 */
export function createIntentError(problem: string): MuxError {
  const isLong = problem.length > MAX_PROBLEM_LENGTH;
  const message = isLong ? `${problem.slice(0, MAX_PROBLEM_LENGTH)} and more` : problem;
  return new MuxError({ code: ResultCode.MalformedIntent, message, runState: RunState.NotRun });
}
