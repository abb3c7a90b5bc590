/** Calls the administration API of any node of the fleet. */
import { readFileSync } from 'node:fs';
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { fromJsonString } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { ErrorBodySchema } from '@parsleymux/schema';
import { Agent, request } from 'undici';

const MIN_ERROR_STATUS = 400;
const CALL_TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 3000;

/** Options of an {@link AdminClient}. */
export interface IAdminClientOptions {
  /** Base URLs of nodes; the next one is tried if one can't be reached. */
  readonly urls: readonly string[];
  readonly key: string | undefined;
  /** File with the certificate authorities of the nodes' certificates. Default: the system's. */
  readonly authorityFile?: string | undefined;
}

/** One call of the API. */
export interface IAdminCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
}

/**
 * Sends calls with the operator's key. A call whose connection fails is sent to the next node, even if
 * the first may have executed it: confirming and discarding a plan are idempotent. Calls that create
 * something may create it twice: a second open plan, which expires after a day, or a second key, which
 * `parsleyctl key list` shows and whose secret nobody has.
 *
 * @example
 * const plan = await client.send(PlanSchema, { method: 'GET', path: '/v1/plans/p1' });
 */
export class AdminClient {
  private readonly agent: Agent;

  constructor(private readonly options: IAdminClientOptions) {
    const { authorityFile } = options;
    const authority = authorityFile === undefined ? {} : { ca: readFileSync(authorityFile) };
    this.agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS, ...authority } });
  }

  /** Returns the message in the response. Throws a MuxError with the node's result, or ConnectionFailed. */
  async send<Desc extends DescMessage>(
    schema: Desc,
    call: IAdminCall,
  ): Promise<MessageShape<Desc>> {
    let failure: unknown;
    for (const url of this.options.urls) {
      try {
        return await this.sendTo(url, schema, call);
      } catch (error) {
        if (error instanceof MuxError) throw error;
        failure = error;
      }
    }
    throw new MuxError({
      code: ResultCode.ConnectionFailed,
      message: `no node answered at ${this.options.urls.join(', ')}: ${String(failure)}`,
      runState: call.method === 'GET' ? RunState.NotRun : RunState.MayHaveRun,
    });
  }

  /** Closes the connections. */
  async dispose(): Promise<void> {
    await this.agent.destroy();
  }

  private async sendTo<Desc extends DescMessage>(
    url: string,
    schema: Desc,
    call: IAdminCall,
  ): Promise<MessageShape<Desc>> {
    const { key } = this.options;
    const response = await request(new URL(call.path, url), {
      dispatcher: this.agent,
      method: call.method,
      headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
      body: call.body ?? null,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.statusCode >= MIN_ERROR_STATUS) throw decodeError(text);
    return fromJsonString(schema, text, { ignoreUnknownFields: true });
  }
}

/** Decodes a node's error. Throws if the body is not one, as from another service at that address. */
function decodeError(text: string): MuxError {
  const body = fromJsonString(ErrorBodySchema, text, { ignoreUnknownFields: true });
  const codes: readonly number[] = Object.values(ResultCode);
  const code = codes.includes(body.code) ? (body.code as ResultCode) : ResultCode.Internal;
  const runState = Object.values(RunState).find((state) => state === body.runState);
  return new MuxError({
    code,
    message: body.message,
    runState: runState ?? RunState.MayHaveRun,
    ...(body.retryAfterMs === 0 ? {} : { retryAfterMs: body.retryAfterMs }),
  });
}
