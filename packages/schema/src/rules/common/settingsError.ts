/** Problems of a hand-written file, reported together so that all can be fixed at once. */
import VError from 'verror';

/** A position in a text; both numbers start at 1. */
export interface ITextPosition {
  readonly line: number;
  readonly column: number;
}

/** A problem with one field. */
export interface IFieldProblem extends ITextPosition {
  readonly file: string;
  /** Path of the field, such as `timing.configPollMs` or `services[2].name`. Empty for the whole file. */
  readonly field: string;
  readonly message: string;
  /** How to fix it. Empty when the message is sufficient. */
  readonly hint: string;
}

/**
 * Formats a problem on one line, in the form that editors recognize as a link.
 *
 * @example
 * formatProblem(problem); // node.jsonc:3:5: timing.configPollMs: must be at least 50 ms, is 10
 */
export function formatProblem(problem: IFieldProblem): string {
  const position = `${problem.file}:${problem.line}:${problem.column}`;
  const field = problem.field === '' ? '' : `${problem.field}: `;
  const hint = problem.hint === '' ? '' : ` (${problem.hint})`;
  return `${position}: ${field}${problem.message}${hint}`;
}

/**
 * Thrown for an invalid settings or intent file. The message has one line per problem.
 *
 * @example
 * throw new SettingsError('node.jsonc', problems);
 */
export class SettingsError extends VError {
  readonly file: string;
  /** Ordered by position in the text; never empty. */
  readonly problems: readonly IFieldProblem[];

  constructor(file: string, problems: readonly IFieldProblem[]) {
    super('%s', problems.map(formatProblem).join('\n'));
    this.name = 'SettingsError';
    this.file = file;
    this.problems = problems;
  }
}
