/** What each member may have in progress at one entry: requests, and bytes of their bodies. */
import type { IncomingMessage } from 'node:http';
import type { MuxError } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import { FairShares } from '@parsleymux/routing';
import type { Limits } from '@parsleymux/schema';
import { createRefusal } from '../../http/common/refusal.js';

const RETRY_AFTER_MS = 1000;

/**
 * Admits requests before their bodies are read: what is refused costs no memory.
 *
 * @example
 * const release = shares.reserve('relinieri', request);
 */
export class EntryShares {
  private readonly requests: FairShares;
  private readonly bytes: FairShares;
  private readonly maxBodyBytes: number;

  constructor(limits: Limits) {
    this.requests = new FairShares({ capacity: limits.requestsInHand });
    this.bytes = new FairShares({ capacity: limits.requestBytesInHand });
    this.maxBodyBytes = limits.requestBodyBytes;
  }

  /** Throws MemberLimit when the member's share is used up. Calling the result gives it back. */
  reserve(member: string, request: IncomingMessage): () => void {
    const releaseRequest = this.requests.reserve(member, 1);
    if (releaseRequest === undefined) throw createMemberLimitError('requests');
    const releaseBytes = this.bytes.reserve(member, this.estimateBytes(request));
    if (releaseBytes === undefined) {
      releaseRequest();
      throw createMemberLimitError('bytes of request bodies');
    }
    return () => {
      releaseRequest();
      releaseBytes();
    };
  }

  /** A chunked body declares no length and may grow to the limit of one body. */
  private estimateBytes(request: IncomingMessage): number {
    if (request.headers['transfer-encoding'] !== undefined) return this.maxBodyBytes;
    return Math.min(Number(request.headers['content-length'] ?? 0), this.maxBodyBytes);
  }
}

function createMemberLimitError(what: string): MuxError {
  return createRefusal(
    ResultCode.MemberLimit,
    `the member has too many ${what} in hand on this node`,
    RETRY_AFTER_MS,
  );
}
