/** Parses the commands, files and expected outputs of docs/walkthrough.md. */

/** Commands and the lines that their output must contain, in this order. */
export interface IWalkthroughStep {
  readonly commands: string;
  readonly expectedLines: readonly string[];
}

/** The parsed page. */
export interface IWalkthrough {
  readonly steps: readonly IWalkthroughStep[];
  /** Contents of the files, keyed by file name. */
  readonly files: ReadonlyMap<string, string>;
}

const BLOCK = /^```(\w+)(?: (\S+))?\n([\s\S]*?)^```$/gm;
const WILDCARD = '…';

/**
 * Parses the page's code blocks: `sh` blocks are commands, a `text` block is the expected output of
 * the `sh` block before it, and any other block with a name is a file.
 *
 * @example
 * const { steps } = parseWalkthrough(readFileSync('docs/walkthrough.md', 'utf8'));
 */
export function parseWalkthrough(page: string): IWalkthrough {
  const steps: { commands: string; expectedLines: readonly string[] }[] = [];
  const files = new Map<string, string>();
  for (const [, language, name, content = ''] of page.matchAll(BLOCK)) {
    if (language === 'sh') steps.push({ commands: content, expectedLines: [] });
    else if (name !== undefined) files.set(name, content);
    else if (language === 'text') setExpectedLines(steps, content);
  }
  return { steps, files };
}

/**
 * Returns the first expected line that is missing from the output, or undefined if all occur in order.
 *
 * @example
 * findMissingLine('plan 7 proposed', ['plan … proposed']); // undefined
 */
export function findMissingLine(output: string, expected: readonly string[]): string | undefined {
  const lines = output.split('\n');
  let from = 0;
  for (const wanted of expected) {
    const pattern = makePattern(wanted);
    const found = lines.findIndex((line, index) => index >= from && pattern.test(line));
    if (found < 0) return wanted;
    from = found + 1;
  }
  return undefined;
}

function setExpectedLines(
  steps: { commands: string; expectedLines: readonly string[] }[],
  content: string,
): void {
  const last = steps.at(-1);
  if (last === undefined)
    throw new Error('a text block with expected output precedes the first sh block');
  last.expectedLines = content.split('\n').filter((line) => line.trim() !== '');
}

/** Matches any run of spaces, since the widths of columns depend on their contents. */
function makePattern(line: string): RegExp {
  const parts = line
    .trim()
    .split(WILDCARD)
    .map((part) => {
      return part
        .trim()
        .replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`)
        .replaceAll(/\s+/g, String.raw`\s+`);
    });
  return new RegExp(`^\\s*${parts.join('.*')}\\s*$`);
}
