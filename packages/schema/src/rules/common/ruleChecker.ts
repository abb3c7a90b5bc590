/**
 * Checks parsed JSON against a schema message by reflection, and fills in defaults. All problems
 * are collected, so that the author can fix the file in one pass.
 */
import type { DescField, DescMessage, JsonObject, JsonValue } from '@bufbuild/protobuf';
import type { Node } from 'jsonc-parser';
import { getNodeValue } from 'jsonc-parser';
import { getDefaultValue, getFieldRule, hasDefaultsWhenAbsent } from './fieldRules.js';
import type { LineIndex } from './lineIndex.js';
import { findNearest } from './nearestName.js';
import type { IFieldProblem } from './settingsError.js';
import type { IValueProblem, ValueCheck } from './valueCheck.js';
import { checkEnum, checkScalar, describeValue } from './valueCheck.js';

/** Options of a {@link RuleChecker}. */
export interface IRuleCheckerOptions {
  readonly fileName: string;
  readonly lines: LineIndex;
}

/**
 * Checks one text; create a new instance for each text.
 *
 * @example
 * const checker = new RuleChecker({ fileName: 'node.jsonc', lines: new LineIndex(text) });
 * const json = checker.checkMessage(NodeSettingsSchema, root, '');
 */
export class RuleChecker {
  private readonly fileName: string;
  private readonly lines: LineIndex;
  private readonly problems: IFieldProblem[] = [];

  constructor(options: IRuleCheckerOptions) {
    this.fileName = options.fileName;
    this.lines = options.lines;
  }

  /** Returns the problems found so far, ordered by position. */
  getProblems(): readonly IFieldProblem[] {
    return [...this.problems].sort((left, right) => {
      return left.line - right.line || left.column - right.column;
    });
  }

  /** Checks an object against a message; returns the object as the protobuf JSON reader expects it. */
  checkMessage(message: DescMessage, node: Node, path: string): JsonObject {
    if (node.type !== 'object') {
      this.addProblem(node, path, {
        message: `must be an object in braces, is ${describeValue(getNodeValue(node))}`,
      });
      return {};
    }
    const json: JsonObject = {};
    const present = this.readProperties(message, node, path);
    for (const field of message.fields) {
      const fieldPath = joinPath(path, field.jsonName);
      const valueNode = present.get(field.jsonName);
      const value =
        valueNode === undefined
          ? this.makeAbsentValue(field, node, fieldPath)
          : this.checkField(field, valueNode, fieldPath);
      if (value !== undefined) json[field.jsonName] = value;
    }
    return json;
  }

  private readProperties(
    message: DescMessage,
    node: Node,
    path: string,
  ): ReadonlyMap<string, Node> {
    const names = message.fields.map((field) => field.jsonName);
    const present = new Map<string, Node>();
    for (const property of node.children ?? []) {
      const [keyNode, valueNode] = property.children ?? [];
      if (keyNode === undefined || valueNode === undefined) continue;
      const name = String(keyNode.value);
      if (!names.includes(name)) this.addUnknownField(keyNode, name, names, path);
      else if (present.has(name)) {
        this.addProblem(keyNode, joinPath(path, name), { message: 'is given twice' });
      } else present.set(name, valueNode);
    }
    return present;
  }

  private addUnknownField(node: Node, name: string, names: readonly string[], path: string): void {
    const nearest = findNearest(name, names);
    const hint =
      nearest === undefined ? `known here: ${names.join(', ')}` : `did you mean "${nearest}"?`;
    this.addProblem(node, joinPath(path, name), { message: 'is not a known field', hint });
  }

  private makeAbsentValue(field: DescField, parent: Node, path: string): JsonValue | undefined {
    const rule = getFieldRule(field);
    if (rule.required) {
      const hint = rule.hint;
      this.addProblem(parent, path, { message: 'is required but absent', hint });
      return undefined;
    }
    if (field.fieldKind === 'message' && hasDefaultsWhenAbsent(field.message)) {
      return this.checkMessage(field.message, { type: 'object', offset: 0, length: 0 }, path);
    }
    return getDefaultValue(field);
  }

  private checkField(field: DescField, node: Node, path: string): JsonValue | undefined {
    switch (field.fieldKind) {
      case 'message':
        return this.checkMessage(field.message, node, path);
      case 'list':
        return this.checkList(field, node, path);
      case 'enum':
        return this.resolveValue(
          checkEnum(getNodeValue(node), field.enum, getFieldRule(field)),
          node,
          path,
        );
      case 'scalar':
        return this.resolveValue(this.checkScalarField(field, node), node, path);
      case 'map':
        throw new TypeError(`${field.toString()}: files cannot hold map fields`);
    }
  }

  private checkScalarField(field: DescField & { fieldKind: 'scalar' }, node: Node): ValueCheck {
    const rule = getFieldRule(field);
    const value: unknown = getNodeValue(node);
    const isTooLong =
      typeof value === 'string' && rule.maxLength > 0 && Buffer.byteLength(value) > rule.maxLength;
    if (isTooLong) return { problem: { message: `is longer than ${rule.maxLength} bytes` } };
    return checkScalar(value, field.scalar, rule);
  }

  private checkList(
    field: DescField & { fieldKind: 'list' },
    node: Node,
    path: string,
  ): JsonValue | undefined {
    const rule = getFieldRule(field);
    if (node.type !== 'array') {
      const message = `must be a list in brackets, is ${describeValue(getNodeValue(node))}`;
      this.addProblem(node, path, { message, hint: rule.hint });
      return undefined;
    }
    const elements = node.children ?? [];
    if (rule.maxLength > 0 && elements.length > rule.maxLength) {
      const message = `has ${elements.length} elements; at most ${rule.maxLength} are allowed`;
      this.addProblem(node, path, { message });
      return undefined;
    }
    return elements.flatMap((element, index) => {
      const value = this.checkElement(field, element, `${path}[${index}]`);
      return value === undefined ? [] : [value];
    });
  }

  private checkElement(
    field: DescField & { fieldKind: 'list' },
    node: Node,
    path: string,
  ): JsonValue | undefined {
    if (field.listKind === 'message') return this.checkMessage(field.message, node, path);
    const rule = getFieldRule(field);
    const value: unknown = getNodeValue(node);
    const check =
      field.listKind === 'enum'
        ? checkEnum(value, field.enum, rule)
        : checkScalar(value, field.scalar, rule);
    return this.resolveValue(check, node, path);
  }

  private resolveValue(check: ValueCheck, node: Node, path: string): JsonValue | undefined {
    if (check.problem === undefined) return check.value;
    this.addProblem(node, path, check.problem);
    return undefined;
  }

  private addProblem(node: Node, field: string, problem: IValueProblem): void {
    const position = this.lines.getPosition(node.offset);
    const { message, hint = '' } = problem;
    this.problems.push({ file: this.fileName, ...position, field, message, hint });
  }
}

function joinPath(parent: string, name: string): string {
  return parent === '' ? name : `${parent}.${name}`;
}
