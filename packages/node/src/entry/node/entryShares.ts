/** Limits the requests, and the bytes of their bodies, that each member may have in progress at an entry. */
import type { IncomingMessage } from 'node:http';
import type { MuxError } from '@parsleymux/base';
import { ResultCode } from '@parsleymux/base';
import { FairShares } from '@parsleymux/routing';
import type { Limits } from '@parsleymux/schema';
import { createRefusal } from '../../http/common/refusal.js';

const RETRY_AFTER_MS = 1000;

/**
 * Admits requests before their bodies are read, so that a refused request uses no memory for its body.
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

  /** Reserves a part of the member's share until the result is called. Throws MemberLimit if none is left. */
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

  /** A chunked body declares no length, so it is counted with the maximum length of a body. */
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
