/** Renders tables of the settings and intent fields from the schema. */
import type { DescField, DescMessage } from '@bufbuild/protobuf';
import { ScalarType } from '@bufbuild/protobuf';
import { formatEnumName, getFieldRule, hasDefaultsWhenAbsent } from '@parsleymux/schema';
import { formatTable } from './markdown.js';

const SCALAR_NAMES: ReadonlyMap<ScalarType, string> = new Map([
  [ScalarType.STRING, 'text'],
  [ScalarType.BOOL, 'true or false'],
  [ScalarType.DOUBLE, 'number'],
  [ScalarType.UINT32, 'whole number'],
  [ScalarType.INT64, 'whole number'],
  [ScalarType.UINT64, 'whole number'],
]);

const COLUMNS = ['field', 'type', 'unit', 'default', 'limits', 'meaning'];

/**
 * Renders a section for a message, followed by sections for the messages nested in its fields.
 *
 * @example
 * const lines = renderMessage(NodeSettingsSchema, comments, 'Settings of a node');
 */
export function renderMessage(
  message: DescMessage,
  comments: ReadonlyMap<string, string>,
  title: string,
): string {
  const rows = message.fields.map((field) => makeRow(field, comments));
  const section = `## ${title}\n\n${formatTable(COLUMNS, rows)}\n`;
  const nested = message.fields.flatMap((field) => {
    if (field.message === undefined) return [];
    return [renderMessage(field.message, comments, `${title}.${formatPath(field)}`)];
  });
  return [section, ...nested].join('\n');
}

function formatPath(field: DescField): string {
  return field.fieldKind === 'list' ? `${field.jsonName}[]` : field.jsonName;
}

function makeRow(field: DescField, comments: ReadonlyMap<string, string>): readonly string[] {
  const rule = getFieldRule(field);
  const meaning = comments.get(`${field.parent.name}.${field.name}`) ?? '';
  const name = `\`${field.jsonName}\``;
  return [name, formatType(field), rule.unit, formatDefault(field), formatLimits(field), meaning];
}

function formatType(field: DescField): string {
  if (field.enum !== undefined) {
    const values = field.enum.values.slice(1);
    return values.map((value) => `\`"${formatEnumName(value.parent, value)}"\``).join(' or ');
  }
  const single =
    field.message === undefined ? (SCALAR_NAMES.get(getScalar(field)) ?? '') : 'object';
  return field.fieldKind === 'list' ? `list of ${single}` : single;
}

function getScalar(field: DescField): ScalarType {
  return field.scalar ?? ScalarType.BYTES;
}

function formatDefault(field: DescField): string {
  const rule = getFieldRule(field);
  if (rule.required) return '**required**';
  if (rule.default !== '') return `\`${rule.default}\``;
  if (field.fieldKind === 'list') return 'empty';
  if (field.fieldKind === 'message') {
    return hasDefaultsWhenAbsent(field.message) ? 'defaults of its fields' : 'absent';
  }
  if (field.scalar === ScalarType.STRING) return 'empty';
  if (field.scalar === ScalarType.BOOL) return '`false`';
  return field.enum === undefined ? '`0`' : 'unspecified';
}

function formatLimits(field: DescField): string {
  const rule = getFieldRule(field);
  const limits: string[] = [];
  if (rule.min !== undefined && rule.max !== undefined) limits.push(`${rule.min} to ${rule.max}`);
  else if (rule.min !== undefined) limits.push(`at least ${rule.min}`);
  else if (rule.max !== undefined) limits.push(`at most ${rule.max}`);
  if (rule.maxLength > 0) {
    limits.push(`at most ${rule.maxLength} ${field.fieldKind === 'list' ? 'elements' : 'bytes'}`);
  }
  if (rule.hint !== '') limits.push(rule.hint);
  else if (rule.pattern !== '') limits.push(`\`${rule.pattern}\``);
  return limits.join('; ');
}
