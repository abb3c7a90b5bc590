/**
 * Authenticates requests between peers by the fleet's key.
 *
 * Each request carries an HMAC over its time, its receiver and its path: the key is never sent, a
 * proof is invalid at another node or for another call, and it expires. The body is not covered:
 * TLS on the peer port protects it against modification in transit.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Clock } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';

/** Name of the header that carries the proof. */
export const PROOF_HEADER = 'parsleymux-fleet-proof';

const DEFAULT_MAX_SKEW_MS = 60_000;
const MIN_KEY_BYTES = 16;
const HASH = 'sha256';

/** Options of a {@link PeerAuthenticator}. */
export interface IPeerAuthenticatorOptions {
  /**
   * The first key makes proofs and every key is accepted, so that a key can be replaced node by
   * node. When empty, no proof is made or required.
   */
  readonly keys: readonly Uint8Array[];
  readonly clock: Clock;
  /** Peer address of this node, which proofs sent to it must contain. */
  readonly selfAddress: string;
  /** Maximum difference between two nodes' clocks, in ms. Default 60,000. */
  readonly maxSkewMs?: number;
}

/**
 * Makes and verifies proofs, both for control calls and for the request hop.
 *
 * @example
 * const proof = authenticator.makeProof('127.0.0.1:7002', '/hop');
 * if (!authenticator.verifyProof(request.headers[PROOF_HEADER], '/hop')) refuse();
 */
export class PeerAuthenticator {
  private readonly options: IPeerAuthenticatorOptions;

  constructor(options: IPeerAuthenticatorOptions) {
    if (options.keys.some((key) => key.length < MIN_KEY_BYTES)) {
      throw new MuxError({
        code: ResultCode.SettingsInvalid,
        message: `the fleet key must have at least ${MIN_KEY_BYTES} bytes`,
        runState: RunState.NotRun,
      });
    }
    this.options = options;
  }

  /**
   * Returns the header's value for a request to `receiver`, or undefined when the fleet has no key.
   */
  makeProof(receiver: string, path: string): string | undefined {
    const key = this.options.keys[0];
    if (key === undefined) return undefined;
    const instant = String(Math.round(this.options.clock.getWallTime()));
    return `${instant} ${computeCode(key, instant, receiver, path).toString('hex')}`;
  }

  /** Whether the header's value proves that the sender holds a key of this fleet. */
  verifyProof(proof: string | readonly string[] | undefined, path: string): boolean {
    if (this.options.keys.length === 0) return true;
    if (typeof proof !== 'string') return false;
    const [instant = '', code = ''] = proof.split(' ', 2);
    if (!this.isRecent(instant)) return false;
    const given = Buffer.from(code, 'hex');
    return this.options.keys.some((key) => {
      return isEqual(given, computeCode(key, instant, this.options.selfAddress, path));
    });
  }

  private isRecent(instant: string): boolean {
    if (!/^\d{1,16}$/.test(instant)) return false;
    const skewMs = Math.abs(this.options.clock.getWallTime() - Number(instant));
    return skewMs <= (this.options.maxSkewMs ?? DEFAULT_MAX_SKEW_MS);
  }
}

function computeCode(key: Uint8Array, instant: string, receiver: string, path: string): Buffer {
  return createHmac(HASH, key).update(`${instant}\n${receiver}\n${path}`).digest();
}

/**
 * Compares in constant time: a comparison that stops at the first difference would reveal how much
 * of a guess is right.
 */
function isEqual(given: Buffer, expected: Buffer): boolean {
  return given.length === expected.length && timingSafeEqual(given, expected);
}
