/** Parses a schema message from JSON with comments. */
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { fromJson } from '@bufbuild/protobuf';
import type { Node, ParseError } from 'jsonc-parser';
import { parseTree, printParseErrorCode } from 'jsonc-parser';
import { LineIndex } from './lineIndex.js';
import { RuleChecker } from './ruleChecker.js';
import type { IFieldProblem } from './settingsError.js';
import { SettingsError } from './settingsError.js';

/**
 * Parses a message from JSON with comments and trailing commas, checks every field against the
 * schema's rules and fills in the defaults.
 *
 * @throws SettingsError that lists all problems.
 *
 * @example
 * const intent = checkMessageText(IntentSchema, text, 'intent.jsonc');
 */
export function checkMessageText<Desc extends DescMessage>(
  schema: Desc,
  text: string,
  fileName: string,
): MessageShape<Desc> {
  const lines = new LineIndex(text);
  const root = parseText(text, fileName, lines);
  const checker = new RuleChecker({ fileName, lines });
  const json = checker.checkMessage(schema, root, '');
  const problems = checker.getProblems();
  if (problems.length > 0) throw new SettingsError(fileName, problems);
  return fromJson(schema, json);
}

function parseText(text: string, fileName: string, lines: LineIndex): Node {
  const errors: ParseError[] = [];
  const root = parseTreeSafely(text, errors);
  if (root !== undefined && errors.length === 0) return root;
  const reported = errors.length > 0 ? errors : [undefined];
  throw new SettingsError(
    fileName,
    reported.map((error) => makeSyntaxProblem(error, fileName, lines)),
  );
}

/** The parser recurses for each bracket, so deeply nested text can overflow the stack. */
function parseTreeSafely(text: string, errors: ParseError[]): Node | undefined {
  try {
    return parseTree(text, errors, { allowTrailingComma: true });
  } catch (error) {
    if (error instanceof RangeError) return undefined;
    throw error;
  }
}

function makeSyntaxProblem(
  error: ParseError | undefined,
  fileName: string,
  lines: LineIndex,
): IFieldProblem {
  const position = lines.getPosition(error?.offset ?? 0);
  const reason = error === undefined ? 'NestedTooDeeply' : printParseErrorCode(error.error);
  const words = reason.replaceAll(/(?<=[a-z])[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
  return {
    file: fileName,
    ...position,
    field: '',
    message: `is not JSON with comments: ${words}`,
    hint: 'names and texts in double quotes, values apart by commas',
  };
}
