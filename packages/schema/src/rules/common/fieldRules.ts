/** Reads the constraints that the schema declares for its fields. */
import type { DescField, DescMessage } from '@bufbuild/protobuf';
import { getOption } from '@bufbuild/protobuf';
import type { JsonValue } from '@bufbuild/protobuf';
import type { FieldRule } from '../../gen/parsleymux/options/v1/options_pb.js';
import { rule } from '../../gen/parsleymux/options/v1/options_pb.js';

/** Cached, because `getOption` decodes the option on each call, which dominated the cost of a check. */
const rules = new WeakMap<DescField, FieldRule>();

/**
 * Returns the rule of a field; a rule without constraints when the schema declares none.
 *
 * @example
 * getFieldRule(LimitsSchema.field.headerBytes).unit; // 'bytes'
 */
export function getFieldRule(field: DescField): FieldRule {
  const cached = rules.get(field);
  if (cached !== undefined) return cached;
  const decoded = getOption(field, rule);
  rules.set(field, decoded);
  return decoded;
}

/**
 * Returns the default of a field, or undefined when the schema declares none.
 *
 * @example
 * getDefaultValue(LimitsSchema.field.headerBytes); // 16384
 */
export function getDefaultValue(field: DescField): JsonValue | undefined {
  const text = getFieldRule(field).default;
  return text === '' ? undefined : (JSON.parse(text) as JsonValue);
}

/**
 * Whether an absent message field is replaced by a message of defaults. This is so when no field of
 * that message is required: an absent `timing` gets all defaults of `timing`, but an absent
 * `callerTls` means no TLS, because a certificate has no default.
 *
 * @example
 * hasDefaultsWhenAbsent(TlsFilesSchema); // false
 */
export function hasDefaultsWhenAbsent(message: DescMessage): boolean {
  return !message.fields.some((field) => getFieldRule(field).required);
}
