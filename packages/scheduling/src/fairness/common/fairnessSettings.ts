/** Settings of the division of a service's slots between tenants. */
import type { SettingsSection } from '../../settings/common/settingsSection.js';

const WEIGHT_LIMITS = { min: 0.001, max: 1_000_000 };

/** Settings of fair shares. */
export interface IFairnessSettings {
  readonly isEnabled: boolean;
  /** Weights by tenant. Default: the rate of the tenant's quota, in requests per second. */
  readonly weights: Readonly<Record<string, number>>;
}

/** Fair shares are off, and tenants are weighted by their quotas. */
export const DEFAULT_FAIRNESS_SETTINGS: IFairnessSettings = { isEnabled: false, weights: {} };

/**
 * Reads the section `scheduling.fairness`. Throws a SettingsError that names the first invalid field.
 *
 * @example
 * readFairnessSettings(section.readSection('fairness')).isEnabled;
 */
export function readFairnessSettings(section: SettingsSection): IFairnessSettings {
  const isEnabled = section.readFlag('enabled', DEFAULT_FAIRNESS_SETTINGS.isEnabled);
  const weights = section.readNumbers('weights', WEIGHT_LIMITS);
  section.finish();
  return { isEnabled, weights };
}
