/** The command line: its commands, help and usage errors. */
import type { BaseContext, CommandClass } from 'clipanion';
import { Cli } from 'clipanion';
import { ClaimSettleCommand, ClaimShowCommand } from '../../commands/node/claimCommands.js';
import {
  ExplainLossesCommand,
  ExplainRequestCommand,
  ExplainTargetCommand,
} from '../../commands/node/explainCommands.js';
import { IntentShowCommand, IntentSubmitCommand } from '../../commands/node/intentCommands.js';
import {
  AuditCommand,
  KeyBootstrapCommand,
  KeyCreateCommand,
  KeyListCommand,
  KeyRevokeCommand,
  KeyRotateCommand,
} from '../../commands/node/keyCommands.js';
import {
  PlanConfirmCommand,
  PlanDiscardCommand,
  PlanShowCommand,
} from '../../commands/node/planCommands.js';
import { ReportBurnCommand } from '../../commands/node/reportCommands.js';
import { StatusCommand } from '../../commands/node/statusCommand.js';
import { TargetDrainCommand, TargetReturnCommand } from '../../commands/node/targetCommands.js';
import { ExitStatus } from '../common/exitStatus.js';
import { findNearestCommand } from '../common/suggestion.js';

const BINARY_NAME = 'parsleyctl';

const COMMANDS: readonly CommandClass[] = [
  IntentSubmitCommand,
  IntentShowCommand,
  PlanShowCommand,
  PlanConfirmCommand,
  PlanDiscardCommand,
  StatusCommand,
  ExplainRequestCommand,
  ExplainTargetCommand,
  ExplainLossesCommand,
  ReportBurnCommand,
  TargetDrainCommand,
  TargetReturnCommand,
  ClaimShowCommand,
  ClaimSettleCommand,
  AuditCommand,
  KeyBootstrapCommand,
  KeyCreateCommand,
  KeyRotateCommand,
  KeyRevokeCommand,
  KeyListCommand,
];

/**
 * Runs one command and returns the exit status.
 *
 * @example
 * const status = await execute(['plan', 'show', 'p1'], context);
 */
export async function execute(words: readonly string[], context: BaseContext): Promise<number> {
  const cli = createCli(isTerminal(context.stdout));
  if (isHelpRequested(words)) {
    const known = COMMANDS.find((command) => hasPath(command, words));
    context.stdout.write(formatHelp(cli.usage(known ?? null, { detailed: known !== undefined })));
    return ExitStatus.Ok;
  }
  try {
    return await cli.run(cli.process([...words], context), context);
  } catch (error) {
    context.stderr.write(formatUsageError(error, words, cli));
    return ExitStatus.Usage;
  }
}

function createCli(enableColors: boolean): Cli {
  const cli = new Cli({
    binaryName: BINARY_NAME,
    binaryLabel: 'parsleymux operators',
    enableColors,
  });
  for (const command of COMMANDS) cli.register(command);
  return cli;
}

function isHelpRequested(words: readonly string[]): boolean {
  return words.length === 0 || words.includes('--help') || words.includes('-h');
}

/** Replaces the "#0" that the library prints as the placeholder of an option's value. */
function formatHelp(text: string): string {
  return text.replaceAll(' #0', ' VALUE');
}

function isTerminal(stream: BaseContext['stdout']): boolean {
  return 'isTTY' in stream && stream.isTTY === true;
}

/** Formats the usage of a known command, or the most similar command for an unknown one. */
function formatUsageError(error: unknown, words: readonly string[], cli: Cli): string {
  const known = COMMANDS.find((command) => hasPath(command, words));
  const lines =
    known === undefined ? describeUnknownCommand(words) : [describeUsageError(error, known, cli)];
  return `${[...lines, `"${BINARY_NAME} --help" lists the commands`].join('\n')}\n`;
}

function hasPath(command: CommandClass, words: readonly string[]): boolean {
  const paths = command.paths ?? [];
  return paths.some((path) => path.every((word, index) => words[index] === word));
}

function describeUnknownCommand(words: readonly string[]): readonly string[] {
  const paths = COMMANDS.flatMap((command) => command.paths ?? []);
  const nearest = findNearestCommand(words, paths);
  const lines = [`unknown command "${words.join(' ')}"`];
  if (nearest !== undefined) lines.push(`did you mean "${BINARY_NAME} ${nearest}"?`);
  return lines;
}

function describeUsageError(error: unknown, command: CommandClass, cli: Cli): string {
  const name = `${BINARY_NAME} ${command.paths?.[0]?.join(' ') ?? ''}`;
  const reason = error instanceof Error && error.name === 'UsageError' ? `: ${error.message}` : '';
  return `invalid use of "${name}"${reason}; usage:\n  ${formatHelp(cli.usage(command).trim())}`;
}
