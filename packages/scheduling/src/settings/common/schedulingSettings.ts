/** Settings of the optional parts of the scheduling. A part that is not enabled changes no decision. */
import type { IAdmissionSettings } from '../../admission/common/admissionSettings.js';
import {
  DEFAULT_ADMISSION_SETTINGS,
  readAdmissionSettings,
} from '../../admission/common/admissionSettings.js';
import type { IFairnessSettings } from '../../fairness/common/fairnessSettings.js';
import {
  DEFAULT_FAIRNESS_SETTINGS,
  readFairnessSettings,
} from '../../fairness/common/fairnessSettings.js';
import { SettingsSection } from './settingsSection.js';

/** A part without settings of its own. */
export interface IPartSettings {
  readonly isEnabled: boolean;
}

/** The optional parts. */
export interface ISchedulingSettings {
  /** Credit of late responses, and admission by what can still be earned. */
  readonly admission: IAdmissionSettings;
  /** Division of a service's slots between tenants. */
  readonly fairness: IFairnessSettings;
  /** Return times of refused callers as reservations. */
  readonly returns: IPartSettings;
  /** Exchange of shares and reservations between homes. */
  readonly handover: IPartSettings;
  /** Learned speed and capacity of each target. */
  readonly speeds: IPartSettings;
  /** Dispatching to services that reject requests regardless of their load. */
  readonly rejections: IPartSettings;
}

const DISABLED: IPartSettings = { isEnabled: false };

/** All optional parts are off. */
export const DEFAULT_SCHEDULING_SETTINGS: ISchedulingSettings = {
  admission: DEFAULT_ADMISSION_SETTINGS,
  fairness: DEFAULT_FAIRNESS_SETTINGS,
  returns: DISABLED,
  handover: DISABLED,
  speeds: DISABLED,
  rejections: DISABLED,
};

/**
 * Reads the section `scheduling` of the settings; undefined stands for the defaults. Throws a SettingsError
 * that names the first invalid field.
 *
 * @example
 * readSchedulingSettings({ fairness: { enabled: true } }).fairness.isEnabled; // true
 */
export function readSchedulingSettings(value: unknown): ISchedulingSettings {
  if (value === undefined) return DEFAULT_SCHEDULING_SETTINGS;
  const section = new SettingsSection('scheduling', value);
  const settings: ISchedulingSettings = {
    admission: readAdmissionSettings(section.readSection('admission')),
    fairness: readFairnessSettings(section.readSection('fairness')),
    returns: readPart(section, 'returns'),
    handover: readPart(section, 'handover'),
    speeds: readPart(section, 'speeds'),
    rejections: readPart(section, 'rejections'),
  };
  section.finish();
  return settings;
}

function readPart(parent: SettingsSection, name: string): IPartSettings {
  const section = parent.readSection(name);
  const isEnabled = section.readFlag('enabled', false);
  section.finish();
  return { isEnabled };
}
