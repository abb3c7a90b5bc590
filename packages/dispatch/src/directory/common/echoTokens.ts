/** Tokens that peers echo in their messages, which bound how long ago these messages were sent. */
import type { Clock, IInstant } from '@parsleymux/base';
import { readInstant } from '@parsleymux/base';

/** Most tokens tracked: those of about ten seconds. */
const MAX_TOKENS = 64;

/** Options of {@link EchoTokens}. */
export interface IEchoTokensOptions {
  readonly clock: Clock;
  /** Differs for each start of the process, as tokens of an earlier one may still be echoed. */
  readonly incarnation: number;
}

/** Size of the token range of one start of the process. */
const TOKENS_PER_START = 1n << 32n;

/**
 * Creates tokens and records when. A message that echoes a token was sent after the token was created. That
 * bound uses only this node's clocks, and holds however long the message took.
 *
 * @example
 * const token = tokens.create();
 * const sentAfter = tokens.find(message.echo);
 */
export class EchoTokens {
  private readonly createdAt = new Map<bigint, IInstant>();
  private last: bigint;

  constructor(private readonly options: IEchoTokensOptions) {
    this.last = BigInt(options.incarnation) * TOKENS_PER_START;
  }

  /** Creates a token and records the current time. */
  create(): bigint {
    this.last += 1n;
    this.createdAt.set(this.last, readInstant(this.options.clock));
    const [oldest] = this.createdAt.keys();
    if (this.createdAt.size > MAX_TOKENS && oldest !== undefined) this.createdAt.delete(oldest);
    return this.last;
  }

  /** Returns when a token was created; undefined if it is unknown or too old. */
  find(token: bigint): IInstant | undefined {
    return this.createdAt.get(token);
  }
}
