/** Gets targets from the homes of services, and decides alone when none can be asked. */
import { create } from '@bufbuild/protobuf';
import type { Clock, IDisposable, Logger } from '@parsleymux/base';
import type { ResultCode } from '@parsleymux/base';
import type { Decision } from '@parsleymux/schema';
import { DecisionKind, ReportSchema } from '@parsleymux/schema';
import type { ITargetRecord } from '../../catalog/common/catalog.js';
import type { HomeService } from '../../home/common/homeService.js';
import type { DatagramChannel } from './datagramChannel.js';
import type { GrantOutcome, IGrantRequest, IReportedResponse } from './grant.js';
import { NO_RESPONSE } from './grant.js';
import {
  decodeBornMs,
  decodeSuspicion,
  encodeAsk,
  encodeOutcome,
  encodeRate,
} from './grantMessages.js';
import { HomeHealth } from './homeHealth.js';
import { GrantRequestSender } from './grantRequestSender.js';
import type { IGrant, Selection } from './targetSelector.js';
import { TargetSelector } from './targetSelector.js';

/** Homes that are asked before this node decides alone. */
const MAX_HOMES_TRIED = 2;
/** Waits between the sends of a report that nobody confirmed, in ms. */
const REPORT_RETRY_DELAYS_MS = [40, 150, 600];

/** Options of a {@link HomeSelector}. */
export interface IHomeSelectorOptions {
  readonly channel: DatagramChannel;
  readonly homes: HomeService;
  readonly clock: Clock;
  readonly log: Logger;
  /** Tells this start of the process from earlier ones. */
  readonly incarnation: number;
  /** Homes of a service, best first; this node's own address may be among them. */
  readonly rankHomes: (service: string) => readonly string[];
  readonly findTarget: (id: string) => ITargetRecord | undefined;
}

interface IPendingRequest {
  readonly home: string;
  readonly question: GrantRequestSender;
}

/** What one home said; undefined when it stayed silent. */
type HomeResponse =
  Selection | { readonly kind: 'unusable-target'; readonly id: string } | undefined;

/**
 * Asks the homes of a service in their order. The wait for silent homes is bounded, so the loss of
 * a home costs precision and some tens of ms, never a request.
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
    // Each home lets a request wait for as long as it is told, whatever other questions took.
    const makeRepeat = (): IGrantRequest => {
      const remainingMs = Math.max(0, endMs - clock.getMonotonicTime());
      return { ...request, isRepeated: true, remainingMs };
    };
    const homes = this.options.rankHomes(request.service);
    const responsive = homes
      .filter((home) => !this.health.isUnresponsive(home))
      .slice(0, MAX_HOMES_TRIED);
    let asked = request;
    for (const home of responsive) {
      if (home === channel.address) {
        if (!this.options.homes.hasReceivedTargets) continue;
        return this.decideLocally(asked, signal);
      }
      const answer = await this.requestGrant(home, asked, signal);
      // Counted by each home that hears of it, one request would earn the service several shares of
      // a retry.
      asked = makeRepeat();
      if (answer?.kind === 'unusable-target') {
        const excluded = [...request.excluded, answer.id];
        return this.choose({ ...asked, excluded }, signal);
      }
      if (answer !== undefined) return answer;
      this.health.recordNoResponse(home);
      log.warn('home is silent', { home, service: request.service });
    }
    return this.decideLocally(this.removeLimitedTargets(asked), signal);
  }

  /**
   * A node that decides for itself knows nothing of what others send, so it avoids targets that name a
   * limit over all nodes.
   */
  private removeLimitedTargets(request: IGrantRequest): IGrantRequest {
    const targets = this.options.homes.findScheduler(request.service)?.listTargets() ?? [];
    const known = targets.filter(({ rateLimit }) => rateLimit.ratePerS !== undefined);
    const named = request.limits.map(({ targetId }) => targetId);
    const excluded = [...request.excluded, ...named, ...known.map(({ record }) => record.id)];
    return { ...request, excluded };
  }

  /** Takes a decision that arrived. */
  handleDecision(sender: string, decision: Decision): void {
    const pending = this.pending.get(decision.askId);
    if (pending?.home !== sender) return;
    this.health.recordResponse(sender);
    pending.question.handleDecision(decision);
  }

  handleReportReceived(askId: bigint): void {
    void this.unconfirmed.get(askId)?.dispose();
    this.unconfirmed.delete(askId);
  }

  /** A node said that it stops: it is not asked any more. */
  handleLeaving(sender: string): void {
    this.health.recordNoResponse(sender);
  }

  /** Resolves with undefined when the home stays silent; rejects when `signal` aborts. */
  private async requestGrant(
    home: string,
    request: IGrantRequest,
    signal: AbortSignal,
  ): Promise<HomeResponse> {
    const { channel, clock, incarnation } = this.options;
    const id = this.nextId++;
    const question = new GrantRequestSender({
      clock,
      signal,
      send: (elapsedMs) => {
        const remaining = { ...request, remainingMs: request.remainingMs - elapsedMs };
        channel.send(home, { case: 'ask', value: encodeAsk(remaining, id, incarnation) });
      },
    });
    this.pending.set(id, { home, question });
    const decision = await question.run().finally(() => this.pending.delete(id));
    if (decision === undefined) {
      // The home may have granted already, or will when a slot gets free.
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
    // Either side may have older news: the home knows a target that this node has not heard of, or a
    // home that stood still for a while grants one that this node knows to be leaving. Where they
    // know different lives of a target, its address may have changed too.
    const isSameLife = target?.bornMs === decodeBornMs(decision.bornMs);
    if (target === undefined || target.isDraining || !isSameLife) {
      this.sendReport(home, id, request, undefined, 'abandoned', 0);
      this.options.log.info('granted target is not usable', {
        request: request.requestId,
        home,
        target: decision.targetId,
        isKnown: target !== undefined,
        isSameLife,
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
      report: (outcome, latencyMs, answer) => {
        this.sendReport(home, id, request, target.id, outcome, latencyMs, answer);
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
    { answerBytes, isDraining: isLeaving, rateLimit }: IReportedResponse = NO_RESPONSE,
  ): void {
    const rateLimitMilli = encodeRate(rateLimit);
    const value = create(ReportSchema, {
      ...(rateLimitMilli === undefined ? {} : { rateLimitMilli }),
      answerBytes,
      leaving: isLeaving,
      askId,
      service: request.service,
      targetId: targetId ?? '',
      outcome: encodeOutcome(outcome),
      latencyMs: Math.max(0, Math.round(latencyMs)),
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
        const report = (outcome: GrantOutcome, latencyMs: number, answer?: IReportedResponse) => {
          scheduler.recordOutcome(ticket, outcome, latencyMs, answer);
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
