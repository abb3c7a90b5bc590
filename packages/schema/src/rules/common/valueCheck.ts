/** Checks single values against the type and rule of their field. */
import type { DescEnum, DescEnumValue, JsonValue } from '@bufbuild/protobuf';
import { ScalarType } from '@bufbuild/protobuf';
import type { FieldRule } from '../../gen/parsleymux/options/v1/options_pb.js';
import { findNearest } from './nearestName.js';
import { hasFormat } from './stringFormat.js';

/** A problem without its position. */
export interface IValueProblem {
  readonly message: string;
  readonly hint?: string;
}

/** The value as the protobuf JSON reader expects it, or the problem with it. */
export type ValueCheck =
  | { readonly value: JsonValue; readonly problem?: undefined }
  | { readonly value?: undefined; readonly problem: IValueProblem };

interface INumberType {
  readonly name: string;
  readonly isInteger: boolean;
  readonly min: number;
  readonly max: number;
}

const UINT32_MAX = 4294967295;
const INT32_MAX = 2147483647;
/** Larger integers cannot be represented exactly in JSON numbers. */
const MAX_INTEGER = Number.MAX_SAFE_INTEGER;

const NUMBER_TYPES: ReadonlyMap<ScalarType, INumberType> = new Map([
  [ScalarType.UINT32, { name: 'whole number', isInteger: true, min: 0, max: UINT32_MAX }],
  [
    ScalarType.INT32,
    { name: 'whole number', isInteger: true, min: -INT32_MAX - 1, max: INT32_MAX },
  ],
  [ScalarType.UINT64, { name: 'whole number', isInteger: true, min: 0, max: MAX_INTEGER }],
  [
    ScalarType.INT64,
    { name: 'whole number', isInteger: true, min: -MAX_INTEGER, max: MAX_INTEGER },
  ],
  [ScalarType.DOUBLE, { name: 'number', isInteger: false, min: -Infinity, max: Infinity }],
]);
const INT64_TYPES: ReadonlySet<ScalarType> = new Set([ScalarType.INT64, ScalarType.UINT64]);
const INTEGER_PATTERN = /^-?[0-9]{1,16}$/;

/**
 * Checks a number, string or boolean.
 *
 * @example
 * checkScalar(10, ScalarType.UINT32, rule).problem; // { message: 'must be at least 50 ms, is 10' }
 */
export function checkScalar(value: unknown, type: ScalarType, rule: FieldRule): ValueCheck {
  if (type === ScalarType.BOOL) return checkBoolean(value, rule);
  if (type === ScalarType.STRING) return checkString(value, rule);
  const numberType = NUMBER_TYPES.get(type);
  if (numberType === undefined) return makeProblem('has a type that files cannot hold');
  return checkNumber(toNumber(value, type), numberType, rule);
}

/**
 * Checks the name of an enum value: the full name, or the short name in lower case.
 *
 * @example
 * checkEnum('fast', DetectionPreferenceSchema, rule).value; // 'DETECTION_PREFERENCE_FAST'
 */
export function checkEnum(value: unknown, type: DescEnum, rule: FieldRule): ValueCheck {
  const names = type.values.map((entry) => formatEnumName(type, entry));
  const hint = rule.hint === '' ? `one of ${names.join(', ')}` : rule.hint;
  if (typeof value !== 'string') {
    return makeProblem(`must be a name, is ${describeValue(value)}`, hint);
  }
  const found = type.values.find((entry) => {
    return entry.name === value || formatEnumName(type, entry) === value;
  });
  if (found !== undefined) return { value: found.name };
  const nearest = findNearest(value, names);
  const guess = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return makeProblem(`has no value "${value}"${guess}`, hint);
}

/**
 * Returns the short name of an enum value, as used in settings files.
 *
 * @example
 * formatEnumName(TargetStateSchema, TargetStateSchema.value[2]); // 'draining'
 */
export function formatEnumName(type: DescEnum, entry: DescEnumValue): string {
  const prefix = (type.sharedPrefix ?? '').toUpperCase();
  const name = entry.name.startsWith(prefix) ? entry.name.slice(prefix.length) : entry.name;
  return name.toLowerCase().replaceAll('_', '-');
}

/**
 * Describes a value by its JSON type, together with the value itself for scalars.
 *
 * @example
 * describeValue({}); // 'an object'
 */
export function describeValue(value: unknown): string {
  if (value === null) return 'null';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'an object';
  if (typeof value === 'string') return `the text ${JSON.stringify(formatTruncated(value))}`;
  return JSON.stringify(value);
}

function checkBoolean(value: unknown, rule: FieldRule): ValueCheck {
  if (typeof value === 'boolean') return { value };
  return makeProblem(`must be true or false, is ${describeValue(value)}`, rule.hint);
}

function checkString(value: unknown, rule: FieldRule): ValueCheck {
  if (typeof value !== 'string') {
    return makeProblem(`must be a text in quotes, is ${describeValue(value)}`, rule.hint);
  }
  if (rule.required && value === '') return makeProblem('must not be empty', rule.hint);
  const isChecked = rule.pattern !== '' && (value !== '' || rule.required);
  if (isChecked && !new RegExp(`^(?:${rule.pattern})$`, 'u').test(value)) {
    const shown = JSON.stringify(formatTruncated(value));
    return makeProblem(`has a wrong form: ${shown}`, rule.hint || `must match ${rule.pattern}`);
  }
  if (value !== '' && !hasFormat(value, rule.format)) {
    return makeProblem(`has a wrong form: ${JSON.stringify(formatTruncated(value))}`, rule.hint);
  }
  return { value };
}

function checkNumber(value: unknown, type: INumberType, rule: FieldRule): ValueCheck {
  if (typeof value !== 'number' || (type.isInteger && !Number.isInteger(value))) {
    return makeProblem(`must be a ${type.name}, is ${describeValue(value)}`, rule.hint);
  }
  const unit = rule.unit === '' ? '' : ` ${rule.unit}`;
  const min = Math.max(rule.min ?? type.min, type.min);
  const max = Math.min(rule.max ?? type.max, type.max);
  if (value < min) return makeProblem(`must be at least ${min}${unit}, is ${value}`, rule.hint);
  if (value > max) return makeProblem(`must be at most ${max}${unit}, is ${value}`, rule.hint);
  return { value };
}

/** The protobuf JSON writer writes 64-bit integers as strings, so both forms are accepted. */
function toNumber(value: unknown, type: ScalarType): unknown {
  if (!INT64_TYPES.has(type) || typeof value !== 'string') return value;
  return INTEGER_PATTERN.test(value) ? Number(value) : value;
}

const MAX_SHOWN_LENGTH = 60;

function formatTruncated(text: string): string {
  return text.length <= MAX_SHOWN_LENGTH ? text : `${text.slice(0, MAX_SHOWN_LENGTH)}...`;
}

function makeProblem(message: string, hint = ''): ValueCheck {
  return { problem: { message, hint } };
}
