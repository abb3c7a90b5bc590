/** The pages of docs/ that are written from the code. */
import { getDefaultRetryAfterMs, listResultInfos } from '@parsleymux/base';
import { IntentSchema, NodeSettingsSchema } from '@parsleymux/schema';
import { renderMessage } from './fieldTable.js';
import { formatTable } from './markdown.js';
import { readFieldComments } from './protoComments.js';

const NOTICE = 'Written by `npm run generate:docs`; a test keeps the page like the code.';

/** The text of a page before it is formatted. */
export interface IPage {
  /** Path from the root of the repository. */
  readonly path: string;
  readonly text: string;
}

/** The .proto files that pages are written from. */
export interface IProtoTexts {
  readonly settings: string;
  readonly config: string;
}

/**
 * Writes every page.
 *
 * @example
 * const pages = renderPages({ settings, config });
 */
export function renderPages(texts: IProtoTexts): readonly IPage[] {
  return [
    { path: 'docs/SETTINGS.md', text: renderSettings(texts.settings) },
    { path: 'docs/INTENTS.md', text: renderIntents(texts.config) },
    { path: 'docs/RESULT-CODES.md', text: renderResultCodes() },
  ];
}

function renderSettings(protoText: string): string {
  return `# Settings of a node

${NOTICE}

A node reads one file, JSON with comments and trailing commas, named by \`parsleymux serve FILE\`.
\`parsleymux check-settings FILE\` checks it and changes nothing. Every fault is told at once, as
\`file:line:column: field: message (hint)\`; a field that is not listed here is refused. Numbers
outside the limits are refused, never clipped. TLS files are read again when they change; all
else is read at start.

${renderMessage(NodeSettingsSchema, readFieldComments(protoText), 'settings')}`;
}

function renderIntents(protoText: string): string {
  return `# Intents

${NOTICE}

An intent says all that one member wants, in full, as JSON with comments. \`parsleyctl\` submits
it; the answer is a plan, and nothing changes until that plan is confirmed. The rules below are
checked first, each fault with its line; what depends on other members or on the floor is checked
against the plan. Names of values may also be written in the long form of the schema.

${renderMessage(IntentSchema, readFieldComments(protoText), 'intent')}`;
}

function renderResultCodes(): string {
  const rows = listResultInfos().map((info) => {
    const waitMs = getDefaultRetryAfterMs(info.code);
    return [
      String(info.code),
      info.name,
      String(info.httpStatus),
      info.runState,
      waitMs === undefined ? '' : `${waitMs / 1000} s`,
      info.meaning,
      info.action,
    ];
  });
  const columns = ['code', 'name', 'status', 'run state', 'come back', 'meaning', 'what to do'];
  return `# Result codes

${NOTICE}

Every refusal carries its number in the header \`parsleymux-result\` and in its JSON body, and
whether the request was executed in \`parsleymux-run-state\`: \`not-run\` (no target executed it and
none will), \`may-have-run\`, or \`ran\`. The column below has the run state that a result usually
comes with; the header of the answer decides. \`Retry-After\` is the wait that the refusal itself
estimated, from the drain rate of a queue for example; the column \`come back\` is what is named
when it estimated none. Empty: coming back by itself changes nothing.

1xxx: refused for what the request is. 2xxx: refused for load or state. 3xxx: failures of targets
and peers. 4xxx: idempotency. 5xxx: administration. 6xxx: settings and command line. 9xxx: faults
of the program. A number is never given a new meaning.

${formatTable(columns, rows)}
`;
}
