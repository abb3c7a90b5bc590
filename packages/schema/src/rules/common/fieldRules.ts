/** Reads the constraints that the schema gives its fields. */
import type { DescField, DescMessage } from '@bufbuild/protobuf';
import { getOption } from '@bufbuild/protobuf';
import type { JsonValue } from '@bufbuild/protobuf';
import type { FieldRule } from '../../gen/parsleymux/options/v1/options_pb.js';
import { rule } from '../../gen/parsleymux/options/v1/options_pb.js';

/** Reading an option decodes it anew each time, which took most of the time of a check. */
const rules = new WeakMap<DescField, FieldRule>();

/**
 * The rule of a field; one without constraints when the schema gives none.
 *
 * @example
 * getFieldRule(LimitsSchema.field.headerBytes).unit; // 'bytes'
 */
export function getFieldRule(field: DescField): FieldRule {
  const known = rules.get(field);
  if (known !== undefined) return known;
  const found = getOption(field, rule);
  rules.set(field, found);
  return found;
}

/**
 * The value that an absent field takes, or undefined when the schema names none.
 *
 * @example
 * getDefaultValue(LimitsSchema.field.headerBytes); // 16384
 */
export function getDefaultValue(field: DescField): JsonValue | undefined {
  const text = getFieldRule(field).default;
  return text === '' ? undefined : (JSON.parse(text) as JsonValue);
}

/**
 * Whether an absent message field stands for a message of defaults. It does when nothing in that
 * message is required: `timing` left out means every default of `timing`, but `callerTls` left
 * out means no TLS, because a certificate has no default.
 *
 * @example
 * hasDefaultsWhenAbsent(TlsFilesSchema); // false
 */
export function hasDefaultsWhenAbsent(message: DescMessage): boolean {
  return !message.fields.some((field) => getFieldRule(field).required);
}
