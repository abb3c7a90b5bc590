/** Detection policies by name. */
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

/** The detectors that are compared. */
export const POLICY_NAMES = ['sequential', 'consecutive', 'success-rate', 'health'] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

/** True for the name of a policy. */
export function isPolicyName(name: string): name is PolicyName {
  return POLICY_NAMES.some((known) => known === name);
}

/** Settings by which the curves of a policy are drawn. */
export interface IPolicySettings extends ISequentialOptions {
  /** Failures in a row. */
  readonly errors?: number;
}

/** Makes a detector. */
export function createPolicy(
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
