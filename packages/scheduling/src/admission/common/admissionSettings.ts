/** Settings that tell what responses are worth to callers. */
import type { SettingsSection } from '../../settings/common/settingsSection.js';

const SHARE = { min: 0, max: 1 };

/** What responses are worth, and how requests are admitted. */
export interface IAdmissionSettings {
  /** Whether requests are admitted by what they can still earn. */
  readonly isEnabled: boolean;
  /** Credit of a response after the objective, relative to one within it. Default 0.7. */
  readonly lateCredit: number;
  /** The same by route, for routes that differ. Default: empty. */
  readonly lateCredits: Readonly<Record<string, number>>;
}

export const DEFAULT_ADMISSION_SETTINGS: IAdmissionSettings = {
  isEnabled: false,
  lateCredit: 0.7,
  lateCredits: {},
};

/**
 * Credit of a late response of `route`.
 *
 * @example
 * getLateCredit({ isEnabled: false, lateCredit: 0.7, lateCredits: { orders: 0.3 } }, 'orders'); // 0.3
 */
export function getLateCredit(
  { lateCredit, lateCredits }: IAdmissionSettings,
  route: string,
): number {
  return Object.hasOwn(lateCredits, route) ? (lateCredits[route] ?? lateCredit) : lateCredit;
}

/**
 * Reads the section `admission` of the scheduling settings.
 *
 * @example
 * const { lateCredit } = readAdmissionSettings(section);
 */
export function readAdmissionSettings(section: SettingsSection): IAdmissionSettings {
  const defaults = DEFAULT_ADMISSION_SETTINGS;
  const settings: IAdmissionSettings = {
    isEnabled: section.readFlag('enabled', defaults.isEnabled),
    lateCredit: section.readNumber('lateCredit', defaults.lateCredit, SHARE),
    lateCredits: section.readNumbers('lateCredits', SHARE),
  };
  section.finish();
  return settings;
}
