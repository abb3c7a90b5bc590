/** Tokens that a node sends to others, and by which it knows how late their answers may be. */
import type { Clock, IInstant } from '@parsleymux/base';
import { readInstant } from '@parsleymux/base';

/** Tokens that are remembered: those of some ten seconds. */
const MAX_TOKENS = 64;

/** Options of {@link EchoTokens}. */
export interface IEchoTokensOptions {
  readonly clock: Clock;
  /** Differs between starts of the process: tokens of an earlier one may still come back. */
  readonly incarnation: number;
}

/** Tokens of one start of the process. */
const TOKENS_PER_START = 1n << 32n;

/**
 * A message that brings a token back was sent later than the token, by this node's own clocks; how long the
 * message itself was under way doesn't matter, and no clock of another node is read.
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

  /** A new token; made now. */
  create(): bigint {
    this.last += 1n;
    this.createdAt.set(this.last, readInstant(this.options.clock));
    const [oldest] = this.createdAt.keys();
    if (this.createdAt.size > MAX_TOKENS && oldest !== undefined) this.createdAt.delete(oldest);
    return this.last;
  }

  /** When a token was made; undefined for one that is unknown or too old. */
  find(token: bigint): IInstant | undefined {
    return this.createdAt.get(token);
  }
}
