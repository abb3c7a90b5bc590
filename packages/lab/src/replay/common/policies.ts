/** Failure detectors by policy name. */
import type { FailureDetector, ISequentialOptions } from '@parsleymux/routing';
import {
  CAREFUL_OPTIONS,
  ConsecutiveErrorsDetector,
  FAST_OPTIONS,
  HealthCheckDetector,
  SequentialDetector,
  SuccessRateDetector,
} from '@parsleymux/routing';
import type { DetectionName } from '../../trace/common/trace.js';

/** Names of the detectors that are compared. */
export const POLICY_NAMES = ['sequential', 'consecutive', 'success-rate', 'health'] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

/** Whether `name` is the name of a policy. */
export function isPolicyName(name: string): name is PolicyName {
  return POLICY_NAMES.some((known) => known === name);
}

/** Settings that are varied to plot the trade-off curve of a policy. */
export interface IPolicySettings extends ISequentialOptions {
  /** Consecutive failures before an ejection. */
  readonly errors?: number;
}

/** Creates the detector of a policy. */
export function createPolicyDetector(
  name: PolicyName,
  detection: DetectionName,
  settings: IPolicySettings = {},
): FailureDetector {
  switch (name) {
    case 'sequential':
      return new SequentialDetector({
        ...(detection === 'fast' ? FAST_OPTIONS : CAREFUL_OPTIONS),
        ...settings,
      });
    case 'consecutive':
      return new ConsecutiveErrorsDetector(settings.errors);
    case 'success-rate':
      return new SuccessRateDetector();
    case 'health':
      return new HealthCheckDetector();
  }
}
