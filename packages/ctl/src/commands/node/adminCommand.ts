/** Base class of the commands that call a node. */
import { readFileSync } from 'node:fs';
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJsonString } from '@bufbuild/protobuf';
import { MS_PER_SECOND, MuxError, ResultCode, RunState } from '@parsleymux/base';
import { Command, Option } from 'clipanion';
import type { IAdminCall } from '../../client/node/adminClient.js';
import { AdminClient } from '../../client/node/adminClient.js';
import { chooseExitStatus, ExitStatus } from '../../cli/common/exitStatus.js';

const DEFAULT_ADMIN_URL = 'http://127.0.0.1:7003';

/** A command with options for the node, the key and the output format. */
export abstract class AdminCommand extends Command {
  readonly admin = Option.String('--admin', {
    env: 'PARSLEYCTL_ADMIN',
    description:
      'URLs of nodes, separated by commas; the next one is tried if one does not respond',
  });

  readonly key = Option.String('--key', {
    env: 'PARSLEYCTL_KEY',
    description: "the operator's key; visible to other users of this computer in the process list",
  });

  readonly keyFile = Option.String('--key-file', { description: "file with the operator's key" });

  readonly authority = Option.String('--ca', {
    env: 'PARSLEYCTL_CA',
    description: 'file with the certificate authorities of the nodes’ certificates',
  });

  readonly json = Option.Boolean('--json', false, { description: 'write the response as JSON' });

  /** Runs the command. Prints a MuxError, and maps its result code to the exit status. */
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

  /** Performs the command. A MuxError that it throws determines the exit status. */
  protected abstract run(): Promise<void>;

  /** Returns the operator's key, from the key file if one is given. */
  protected readKey(): string | undefined {
    return this.keyFile === undefined ? this.key : readText(this.keyFile).trim();
  }

  /** Calls a node and prints the response. */
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

  /** Calls a node and returns the response. */
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
 * Reads a file that a command's arguments name. Throws UsageError.
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
