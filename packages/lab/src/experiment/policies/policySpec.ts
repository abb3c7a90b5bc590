/** Parses names of policies and their settings from the command line. */
import type { GrantPolicy, IExpectedCreditSettings } from '@parsleymux/scheduling';
import { DEFAULT_CREDIT_SETTINGS, ExpectedCreditPolicy } from '@parsleymux/scheduling';
import VError from 'verror';
import { FreeSlotPolicy } from './freeSlotPolicy.js';
import type { FailureOracle } from './oraclePolicy.js';
import { OraclePolicy } from './oraclePolicy.js';

const FREE_SLOT = 'free-slot';
const EXPECTED_CREDIT = 'expected-credit';
const ORACLE = 'oracle';

export const POLICY_SPECS = `${FREE_SLOT}, ${ORACLE}, or ${EXPECTED_CREDIT}[,SETTING=VALUE]... with ${Object.keys(
  DEFAULT_CREDIT_SETTINGS,
)
  .filter((name) => name !== 'weights')
  .join(', ')} and the weights ${Object.keys(DEFAULT_CREDIT_SETTINGS.weights).join(', ')}`;

/**
 * Returns a factory of the policy that `text` names. Throws if the policy or a setting is unknown.
 *
 * @example
 * const createPolicy = parsePolicy('expected-credit,valuesProbes=false');
 */
export function parsePolicy(text: string): (isFailing: FailureOracle) => GrantPolicy {
  const [name, ...parts] = text.split(',');
  if (name === FREE_SLOT && parts.length === 0) return () => new FreeSlotPolicy();
  if (name === ORACLE && parts.length === 0) return (isFailing) => new OraclePolicy(isFailing);
  if (name !== EXPECTED_CREDIT) throw new VError('no policy "%s": %s', text, POLICY_SPECS);
  const settings = parts.reduce(applySetting, DEFAULT_CREDIT_SETTINGS);
  return () => new ExpectedCreditPolicy(settings);
}

function applySetting(settings: IExpectedCreditSettings, part: string): IExpectedCreditSettings {
  const [name = '', value = ''] = part.split('=');
  if (name in settings.weights) {
    return { ...settings, weights: { ...settings.weights, [name]: parseNumber(name, value) } };
  }
  const known: unknown = settings[name as keyof IExpectedCreditSettings];
  if (typeof known === 'number') return { ...settings, [name]: parseNumber(name, value) };
  if (typeof known === 'boolean') return { ...settings, [name]: value === 'true' };
  throw new VError('no setting "%s": %s', name, POLICY_SPECS);
}

function parseNumber(name: string, value: string): number {
  const number = Number(value);
  if (value === '' || !Number.isFinite(number)) throw new VError('%s is not a number', name);
  return number;
}
