/** Parses the text of an intent, and validates it against the schema. */
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';
import { parseBody } from '../../api/common/adminRoute.js';

/** Maximum length of a listing of faults, in characters: all faults of a large intent are unreadable. */
const MAX_PROBLEM_LENGTH = 4000;

/**
 * Parses an intent. Throws MalformedIntent.
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
 * Creates the rejection of an intent, with its listing of faults truncated to a readable length.
 *
 * @example
 * throw createIntentError(problem);
 */
export function createIntentError(problem: string): MuxError {
  const isLong = problem.length > MAX_PROBLEM_LENGTH;
  const message = isLong ? `${problem.slice(0, MAX_PROBLEM_LENGTH)} and more` : problem;
  return new MuxError({ code: ResultCode.MalformedIntent, message, runState: RunState.NotRun });
}
