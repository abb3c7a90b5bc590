/** Command line of the node. */
import { readFile } from 'node:fs/promises';
import { createLogger, getResultInfo, ResultCode, SystemClock } from '@parsleymux/base';
import type { NodeSettings } from '@parsleymux/schema';
import { parseSettings, SettingsError } from '@parsleymux/schema';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { MuxNode } from './muxNode.js';

const VERSION = '0.1.0';
const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;
const EXIT_USAGE = 2;
const BINARY_NAME = 'parsleymux';

/** Reads a settings file. Prints every problem in it and returns undefined when there are any. */
async function loadSettings(
  file: string,
  output: NodeJS.WritableStream,
): Promise<NodeSettings | undefined> {
  try {
    return parseSettings(await readFile(file, 'utf8'), file);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    output.write(`${message}\n${formatResult(ResultCode.SettingsInvalid)}\n`);
    if (!(error instanceof SettingsError) && !isFileError(error)) throw error;
    return undefined;
  }
}

/** Formats the last line of every rejection; docs/RESULT-CODES.md describes the codes. */
function formatResult(code: ResultCode): string {
  const { name, action } = getResultInfo(code);
  return `${BINARY_NAME}: result ${code} ${name}: ${action}`;
}

function isFileError(error: unknown): boolean {
  return typeof (error as { readonly code?: unknown }).code === 'string';
}

class CheckSettingsCommand extends Command {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file and name every problem in it.',
    examples: [['Check a file', '$0 check-settings node.jsonc']],
  });

  readonly file = Option.String({ name: 'FILE' });

  override async execute(): Promise<number> {
    const settings = await loadSettings(this.file, this.context.stderr);
    if (settings === undefined) return EXIT_SETTINGS;
    this.context.stdout.write(`${this.file}: settings are valid\n`);
    return EXIT_OK;
  }
}

class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'Run a node until SIGTERM or SIGINT.',
    details:
      'Prints one line of JSON with the addresses in use. The first signal starts a graceful ' +
      'shutdown: requests in flight are finished. A second one ends the process immediately.',
    examples: [['Run a node', '$0 serve node.jsonc']],
  });

  readonly file = Option.String({ name: 'SETTINGS' });

  override async execute(): Promise<number> {
    const settings = await loadSettings(this.file, this.context.stderr);
    if (settings === undefined) return EXIT_SETTINGS;
    const log = createLogger({
      json: settings.logging?.json ?? false,
      level: (settings.logging?.level ?? 'info') as 'info',
      fields: { node: settings.peerAddress },
    });
    const node = new MuxNode({ settings, clock: new SystemClock(), log });
    try {
      const addresses = await node.start();
      this.context.stdout.write(`${JSON.stringify(addresses)}\n`);
    } catch (error) {
      log.error('node failed to start', { cause: error instanceof Error ? error.message : '' });
      await node.dispose();
      return EXIT_FAILED;
    }
    await waitForSignal();
    const interrupted = await node.stopGracefully();
    return interrupted === 0 ? EXIT_OK : EXIT_FAILED;
  }
}

/** Resolves on the first SIGTERM or SIGINT; a second one ends the process immediately. */
function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    let isStopping = false;
    const onSignal = () => {
      if (isStopping) process.exit(EXIT_FAILED);
      isStopping = true;
      resolve();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

async function runCommand(cli: Cli, args: readonly string[]): Promise<number> {
  const { stderr } = Cli.defaultContext;
  try {
    return await cli.run(cli.process([...args], Cli.defaultContext), Cli.defaultContext);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    stderr.write(`${reason}\n\n${cli.usage()}\n${formatResult(ResultCode.UsageError)}\n`);
    return EXIT_USAGE;
  }
}

/**
 * Runs the command line and sets the process's exit code.
 *
 * @example
 * await runMain(['serve', 'node.jsonc']);
 */
export async function runMain(args: readonly string[]): Promise<void> {
  const cli = new Cli({
    binaryLabel: 'parsleymux',
    binaryName: BINARY_NAME,
    binaryVersion: VERSION,
  });
  cli.register(CheckSettingsCommand);
  cli.register(ServeCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  process.exitCode = await runCommand(cli, args);
  // Idle connections to peers and targets would keep the process running for their keep-alive time.
  process.exit();
}
