/** What the home of a service knows and has learned, from which its decisions are made. */
import type { Clock, Logger } from '@parsleymux/base';
import type { IServiceState } from '../../admission/common/grantPolicy.js';
import { ProcessingTimes } from '../../capacity/common/processingTimes.js';
import { LearnedTargetSpeed } from '../../capacity/common/learnedTargetSpeed.js';
import { ServiceSpeeds } from '../../capacity/common/serviceSpeeds.js';
import { ResponseSizes } from '../../capacity/common/responseSizes.js';
import { ServiceTargets } from '../../capacity/common/serviceTargets.js';
import { FailureModel } from '../../health/common/failureModel.js';
import { OutcomeWindow } from '../../health/common/outcomeWindow.js';
import type { IRetryWindowOptions } from '../../retries/common/retryWindow.js';
import { RetryWindow } from '../../retries/common/retryWindow.js';
import type { ISchedulingSettings } from '../../settings/common/schedulingSettings.js';
import { DEFAULT_SCHEDULING_SETTINGS } from '../../settings/common/schedulingSettings.js';

/** Limits that apply to every service, from the settings. */
export interface IServiceBounds {
  readonly retries: IRetryWindowOptions;
  /** Share of the healthy targets that must receive requests while many requests fail, from 0 to 1. */
  readonly floorShare: number;
  /** The optional parts of the scheduling. Default: all off. */
  readonly scheduling?: ISchedulingSettings;
}

/** Options of a {@link ServiceModel}. */
export interface IServiceModelOptions extends IServiceBounds {
  readonly clock: Clock;
  readonly service: string;
  readonly log: Logger;
}

/**
 * Holds the targets, the learned rates and times, and the retry allowance of one service.
 *
 * @example
 * const state = model.getState(queue.size);
 */
export class ServiceModel {
  readonly targets: ServiceTargets;
  /** Retries of the whole fleet, as far as they have been reported to this home. */
  readonly retries: RetryWindow;
  readonly outcomeWindow = new OutcomeWindow();
  readonly processingTimes = new ProcessingTimes();
  readonly responseSizes = new ResponseSizes();
  /** Undefined if speeds are not learned. */
  readonly speeds: ServiceSpeeds | undefined;
  private readonly failures = new FailureModel();
  private bounds: IServiceBounds;

  constructor(private readonly options: IServiceModelOptions) {
    this.bounds = options;
    const isLearning = options.scheduling?.speeds.isEnabled === true;
    this.speeds = isLearning ? new ServiceSpeeds(options) : undefined;
    this.targets = new ServiceTargets({
      clock: options.clock,
      model: this.failures,
      createSpeed: isLearning ? () => new LearnedTargetSpeed() : undefined,
    });
    this.retries = new RetryWindow(options.retries);
  }

  /** Settings of the optional parts. */
  get scheduling(): ISchedulingSettings {
    return this.bounds.scheduling ?? DEFAULT_SCHEDULING_SETTINGS;
  }

  /** Changes the limits. Requests and retries counted before the change remain counted. */
  setBounds(bounds: IServiceBounds): void {
    this.bounds = bounds;
    this.retries.setAllowance(bounds.retries);
  }

  /** The state of the service with `queued` waiting requests. */
  getState(queued: number): IServiceState {
    const nowMs = this.options.clock.getMonotonicTime();
    const targets = this.targets.list();
    const { outcomeWindow, processingTimes, responseSizes, speeds } = this;
    return {
      targets,
      model: this.failures,
      processingTimes,
      responseSizes,
      speeds,
      retriesUsed: this.retries.getUsedShare(nowMs),
      isFailing: outcomeWindow.isFailing(nowMs),
      usage: outcomeWindow.getUsage(targets, nowMs),
      floorShare: this.bounds.floorShare,
      queued,
      nowMs,
      admission: this.bounds.scheduling?.admission,
    };
  }

  /** Whether so many requests fail that unused targets, including suspected ones, must be used. */
  isFailing(): boolean {
    return this.outcomeWindow.isFailing(this.options.clock.getMonotonicTime());
  }
}
