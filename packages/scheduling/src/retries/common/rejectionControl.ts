/** The part of a scheduler that handles services whose targets reject requests. */
import type { Clock } from '@parsleymux/base';
import type { ServiceLog } from '../../scheduler/common/serviceLog.js';
import type { IServiceBounds, ServiceModel } from '../../scheduler/common/serviceModel.js';
import type { Ticket } from '../../scheduler/common/ticket.js';
import { RejectionModel } from './rejectionModel.js';
import { RetryAllocator } from './retryAllocator.js';

/** Options of {@link RejectionControl.create}. */
export interface IRejectionControlOptions extends IServiceBounds {
  readonly clock: Clock;
}

/**
 * Joins the model of rejections with the division of the retry allowance.
 *
 * @example
 * const rejections = RejectionControl.create(options, model, serviceLog);
 * rejections?.isOpen(ticket, pending, now);
 */
export class RejectionControl {
  /** Second attempts that were refused for the allowance. */
  refusedRetries = 0;
  private readonly allocator: RetryAllocator;

  private constructor(
    readonly model: RejectionModel,
    private readonly service: ServiceModel,
    { retries }: IServiceBounds,
  ) {
    this.allocator = new RetryAllocator(retries.windowMs);
  }

  /** Returns undefined if the part is not enabled. */
  static create(
    options: IRejectionControlOptions,
    service: ServiceModel,
    serviceLog: ServiceLog,
  ): RejectionControl | undefined {
    if (options.scheduling?.rejections.isEnabled !== true) return undefined;
    const { clock } = options;
    const model = new RejectionModel({
      clock,
      onChange: (state) => {
        serviceLog.logRejections(state);
      },
    });
    return new RejectionControl(model, service, options);
  }

  /** Whether a retry may be sent in addition to `pending` admitted ones; records the answer. */
  isOpen({ request, tenant }: Ticket, pending: number, nowMs: number): boolean {
    const { retries } = this.service;
    const { isCharged: mayHaveRun, priority } = request;
    const total = retries.getAllowance(nowMs);
    const left = retries.countLeft(nowMs, pending);
    const asked = { tenant: tenant?.name, priority, mayHaveRun };
    const changes = retries.listChanges(nowMs);
    const allowance = { total, left, changes, partMs: retries.partMs };
    const isOpen = this.allocator.decide(asked, allowance, nowMs);
    if (!isOpen) this.refusedRetries += 1;
    return isOpen;
  }
}
