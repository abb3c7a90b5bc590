/** What every command that calls a node has in common. */
import { readFileSync } from 'node:fs';
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJsonString } from '@bufbuild/protobuf';
import { MS_PER_SECOND, MuxError, ResultCode, RunState } from '@parsleymux/base';
import { Command, Option } from 'clipanion';
import type { IAdminCall } from '../../client/node/adminClient.js';
import { AdminClient } from '../../client/node/adminClient.js';
import { chooseExitStatus, ExitStatus } from '../../cli/common/exitStatus.js';

const DEFAULT_ADMIN_URL = 'http://127.0.0.1:7003';

/** A command with the options that name the node and the key. */
export abstract class AdminCommand extends Command {
  readonly admin = Option.String('--admin', {
    env: 'PARSLEYCTL_ADMIN',
    description: 'URLs of nodes, separated by commas; the next is tried when one is silent',
  });

  readonly key = Option.String('--key', {
    env: 'PARSLEYCTL_KEY',
    description: "the operator's key; other users of this computer can see it here",
  });

  readonly keyFile = Option.String('--key-file', { description: "file with the operator's key" });

  readonly authority = Option.String('--ca', {
    env: 'PARSLEYCTL_CA',
    description: 'file with the authorities of the nodes’ certificates',
  });

  readonly json = Option.Boolean('--json', false, { description: 'write the answer as JSON' });

  /** Runs the command, and turns refusals into a line on stderr and an exit status. */
  override async execute(): Promise<number> {
    try {
      await this.run();
      return ExitStatus.Ok;
    } catch (error) {
      if (!(error instanceof MuxError)) throw error;
      this.printError(error);
      return chooseExitStatus(error.code);
    }
  }

  /** Does the command's work; a MuxError that it throws becomes the exit status. */
  protected abstract run(): Promise<void>;

  /** The operator's key, from the file when one is named. */
  protected readKey(): string | undefined {
    return this.keyFile === undefined ? this.key : readText(this.keyFile).trim();
  }

  /** Calls a node and prints the answer. */
  protected async request<Desc extends DescMessage>(
    schema: Desc,
    call: IAdminCall,
    format: (message: MessageShape<Desc>) => string,
  ): Promise<MessageShape<Desc>> {
    const message = await this.send(schema, call);
    const text = this.json
      ? toJsonString(schema, message, { prettySpaces: 2, alwaysEmitImplicit: true })
      : format(message);
    this.context.stdout.write(`${text}\n`);
    return message;
  }

  /** Calls a node. */
  protected async send<Desc extends DescMessage>(
    schema: Desc,
    call: IAdminCall,
  ): Promise<MessageShape<Desc>> {
    const client = new AdminClient({
      urls: (this.admin ?? DEFAULT_ADMIN_URL).split(',').map((url) => url.trim()),
      key: this.readKey(),
      authorityFile: this.authority,
    });
    try {
      return await client.send(schema, call);
    } finally {
      await client.dispose();
    }
  }

  private printError(error: MuxError): void {
    const name = findResultName(error.code);
    const { code, runState, summary } = error;
    if (this.json) {
      const body = { code, name, message: summary, runState, retryAfterMs: error.retryAfterMs };
      this.context.stdout.write(`${JSON.stringify(body, undefined, 2)}\n`);
      return;
    }
    const retry =
      error.retryAfterMs === undefined
        ? ''
        : `; try again in ${Math.ceil(error.retryAfterMs / MS_PER_SECOND)} s`;
    this.context.stderr.write(`${code} ${name}: ${summary}${retry}\n`);
  }
}

/**
 * Reads a file that the operator named. Throws UsageError.
 *
 * @example
 * const intent = readText(this.file);
 */
export function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const message = `can't read ${path}: ${error instanceof Error ? error.message : ''}`;
    throw new MuxError({ code: ResultCode.UsageError, message, runState: RunState.NotRun });
  }
}

function findResultName(code: ResultCode): string {
  return Object.entries(ResultCode).find(([, value]) => value === code)?.[0] ?? '';
}
