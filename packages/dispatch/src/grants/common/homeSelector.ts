/** Obtains targets from the homes of services, and decides locally if none of them responds. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { ResultCode } from '@parsleymux/base';
import type { Decision, ReportReceived } from '@parsleymux/schema';
import { DecisionKind, ReportSchema } from '@parsleymux/schema';
import type {
  ITargetRecord,
  HomeService,
  GrantOutcome,
  IGrantRequest,
  IReportedResponse,
} from '@parsleymux/scheduling';
import type { DatagramChannel } from './datagramChannel.js';
import { NO_RESPONSE } from '@parsleymux/scheduling';
import {
  decodeBornMs,
  decodeSuspicion,
  encodeAsk,
  encodeOutcome,
  encodeRate,
} from './grantMessages.js';
import { HomeHealth } from './homeHealth.js';
import { GrantRequestSender } from './grantRequestSender.js';
import { toUint32 } from './integerFields.js';
import type { IGrant, Selection } from './targetSelector.js';
import { TargetSelector } from './targetSelector.js';

/** Number of homes tried before this node decides locally. */
const MAX_HOMES_TRIED = 2;
/** Delays between transmissions of an unconfirmed report, in ms. */
const REPORT_RETRY_DELAYS_MS = [40, 150, 600];

/** Options of a {@link HomeSelector}. */
export interface IHomeSelectorOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  readonly log: Logger;
  /** Distinguishes this process from earlier ones at the same address. */
  readonly incarnation: number;
  /** Homes of a service in order of preference; may contain this node's own address. */
  readonly rankHomes: (service: string) => readonly string[];
  readonly findTarget: (id: string) => ITargetRecord | undefined;
}

interface IPendingRequest {
  readonly home: string;
  readonly requestSender: GrantRequestSender;
}

/** The response of one home; undefined if there was none. */
type HomeResponse =
  Selection | { readonly kind: 'unusable-target'; readonly id: string } | undefined;

/**
 * Tries the homes of a service in order. The wait for unresponsive homes is bounded, so a crashed home
 * costs accuracy and some tens of ms, but never a request.
 *
 * @example
 * const selection = await selector.choose(request, signal);
 */
export class HomeSelector extends TargetSelector {
  private readonly pending = new Map<bigint, IPendingRequest>();
  private readonly unconfirmed = new Map<bigint, IDisposable>();
  private readonly health: HomeHealth;
  private nextId = 1n;

  constructor(private readonly options: IHomeSelectorOptions) {
    super();
    this.health = new HomeHealth(options.clock);
  }

  override async choose(request: IGrantRequest, signal: AbortSignal): Promise<Selection> {
    const { channel, clock, log } = this.options;
    const endMs = clock.getMonotonicTime() + request.remainingMs;
    // A home queues a request for the remaining time it receives, so earlier homes' time must be deducted.
    const makeRepeatedRequest = (): IGrantRequest => {
      const remainingMs = Math.max(0, endMs - clock.getMonotonicTime());
      return { ...request, isRepeated: true, remainingMs };
    };
    const homes = this.options.rankHomes(request.service);
    const responsive = homes
      .filter((home) => !this.health.isUnresponsive(home))
      .slice(0, MAX_HOMES_TRIED);
    let current = request;
    for (const home of responsive) {
      if (home === channel.address) {
        if (!this.options.homes.hasReceivedTargets) continue;
        return this.decideLocally(current, signal);
      }
      const response = await this.requestGrant(home, current, signal);
      // If several homes counted the same request, it would increase the retry allowance several times.
      current = makeRepeatedRequest();
      if (response?.kind === 'unusable-target') {
        const excluded = [...request.excluded, response.id];
        return this.choose({ ...current, excluded }, signal);
      }
      if (response !== undefined) return response;
      this.health.recordNoResponse(home);
      log.warn('home is silent', { home, service: request.service });
    }
    return this.decideLocally(this.removeLimitedTargets(current), signal);
  }

  /**
   * A node that decides locally doesn't know what other nodes send, so it avoids targets that advertise a
   * limit for all nodes together.
   */
  private removeLimitedTargets(request: IGrantRequest): IGrantRequest {
    const targets = this.options.homes.findScheduler(request.service)?.listTargets() ?? [];
    const limited = targets.filter(({ rateLimit }) => rateLimit.ratePerS !== undefined);
    const advertised = request.limits.map(({ targetId }) => targetId);
    const excluded = [
      ...request.excluded,
      ...advertised,
      ...limited.map(({ record }) => record.id),
    ];
    return { ...request, excluded };
  }

  /** Handles a received decision. */
  handleDecision(sender: string, decision: Decision): void {
    if (!this.isOwn(decision)) {
      this.handleFormerDecision(sender, decision);
      return;
    }
    const pending = this.pending.get(decision.askId);
    if (pending?.home !== sender) return;
    this.health.recordResponse(sender);
    pending.requestSender.handleDecision(decision);
  }

  handleReportReceived(received: ReportReceived): void {
    if (!this.isOwn(received)) return;
    const { askId } = received;
    void this.unconfirmed.get(askId)?.dispose();
    this.unconfirmed.delete(askId);
  }

  /**
   * Whether a message responds to this process. Each process numbers its grant requests from 1, so a response to
   * an earlier process at this address can have the number of one of them. Older homes state no incarnation.
   */
  private isOwn({ incarnation }: Decision | ReportReceived): boolean {
    return incarnation === 0 || incarnation === this.options.incarnation;
  }

  /** Returns a grant that no process can use; otherwise its slot stays in use until the request's deadline. */
  private handleFormerDecision(home: string, decision: Decision): void {
    const { askId, incarnation, kind, targetId } = decision;
    this.options.log.info('decision on a request of a former process', {
      home,
      ask: String(askId),
      incarnation,
      kind: DecisionKind[kind],
      target: targetId,
    });
    if (kind !== DecisionKind.GRANTED) return;
    const outcome = encodeOutcome('abandoned');
    const value = create(ReportSchema, { askId, incarnation, targetId, outcome });
    this.options.channel.send(home, { case: 'report', value });
  }

  /** Handles the shutdown notice of a node: no further requests are sent to it. */
  handleLeaving(sender: string): void {
    this.health.recordNoResponse(sender);
  }

  /** Resolves with undefined if the home does not respond; rejects if `signal` aborts. */
  private async requestGrant(
    home: string,
    request: IGrantRequest,
    signal: AbortSignal,
  ): Promise<HomeResponse> {
    const { channel, clock, incarnation } = this.options;
    const id = this.nextId++;
    const requestSender = new GrantRequestSender({
      clock,
      signal,
      send: (elapsedMs) => {
        const remainingRequest = { ...request, remainingMs: request.remainingMs - elapsedMs };
        channel.send(home, { case: 'ask', value: encodeAsk(remainingRequest, id, incarnation) });
      },
    });
    this.pending.set(id, { home, requestSender });
    const decision = await requestSender.run().finally(() => this.pending.delete(id));
    if (decision === undefined) {
      // The home may already have granted a slot, or may grant one later if the request is queued.
      this.sendReport(home, id, request, undefined, 'abandoned', 0);
      signal.throwIfAborted();
      return undefined;
    }
    return this.toSelection(home, id, request, decision);
  }

  private toSelection(
    home: string,
    id: bigint,
    request: IGrantRequest,
    decision: Decision,
  ): HomeResponse {
    if (decision.kind !== DecisionKind.GRANTED) {
      const code = decision.resultCode as ResultCode;
      return { kind: 'refused', code, retryAfterMs: decision.retryAfterMs, home };
    }
    const target = this.options.findTarget(decision.targetId);
    // Either side may have older data: the home may know a target that this node has not learned of, or a
    // home that was paused may grant one that this node knows to be draining. If they know different
    // incarnations of a target, its address may have changed too.
    const isSameIncarnation = target?.bornMs === decodeBornMs(decision.bornMs);
    const isOfService = target?.service === request.service;
    if (target === undefined || target.isDraining || !isSameIncarnation || !isOfService) {
      this.sendReport(home, id, request, undefined, 'abandoned', 0);
      this.options.log.info('granted target is not usable', {
        request: request.requestId,
        home,
        target: decision.targetId,
        isKnown: target !== undefined,
        isSameLife: isSameIncarnation,
        isOfService,
      });
      return { kind: 'unusable-target', id: decision.targetId };
    }
    return { kind: 'granted', grant: this.createGrant(home, id, request, target, decision) };
  }

  private createGrant(
    home: string,
    id: bigint,
    request: IGrantRequest,
    target: ITargetRecord,
    decision: Decision,
  ): IGrant {
    return {
      target,
      home,
      suspicion: decodeSuspicion(decision),
      needsFreshConnection: decision.freshConnection,
      report: (outcome, latencyMs, response) => {
        this.sendReport(home, id, request, target.id, outcome, latencyMs, response);
      },
    };
  }

  private sendReport(
    home: string,
    askId: bigint,
    request: IGrantRequest,
    targetId: string | undefined,
    outcome: GrantOutcome,
    latencyMs: number,
    { answerBytes, isDraining, rateLimit }: IReportedResponse = NO_RESPONSE,
  ): void {
    const rateLimitMilli = encodeRate(rateLimit);
    const value = create(ReportSchema, {
      ...(rateLimitMilli === undefined ? {} : { rateLimitMilli }),
      answerBytes: toUint32(answerBytes),
      leaving: isDraining,
      askId,
      service: request.service,
      targetId: targetId ?? '',
      outcome: encodeOutcome(outcome),
      latencyMs: toUint32(latencyMs),
      incarnation: this.options.incarnation,
      failureDomain: request.failureDomain,
    });
    const send = (repeat: number) => {
      this.options.channel.send(home, { case: 'report', value });
      const delayMs = REPORT_RETRY_DELAYS_MS[repeat];
      if (delayMs === undefined) {
        this.unconfirmed.delete(askId);
        return;
      }
      const timer = this.options.clock.startTimer(delayMs, () => {
        send(repeat + 1);
      });
      this.unconfirmed.set(askId, timer);
    };
    send(0);
  }

  private decideLocally(request: IGrantRequest, signal: AbortSignal): Promise<Selection> {
    const scheduler = this.options.homes.getScheduler(request.service);
    const home = this.options.channel.address;
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(toError(signal.reason));
        return;
      }
      const onAbort = () => {
        scheduler.recordOutcome(ticket, 'abandoned', 0);
        reject(toError(signal.reason));
      };
      signal.addEventListener('abort', onAbort, { once: true });
      const ticket = scheduler.requestGrant(request, home, (decision) => {
        signal.removeEventListener('abort', onAbort);
        if (decision.kind === 'refused') {
          resolve({ ...decision, home });
          return;
        }
        const { needsFreshConnection, suspicion, target } = decision;
        const report = (outcome: GrantOutcome, latencyMs: number, response?: IReportedResponse) => {
          scheduler.recordOutcome(ticket, outcome, latencyMs, response);
        };
        const grant = { target, home, suspicion, needsFreshConnection, report };
        resolve({ kind: 'granted', grant });
      });
    });
  }
}

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new Error(String(reason));
}
