/** Reads and checks one section of the settings. */
import VError from 'verror';

/** Thrown for a settings field with an invalid value. */
export class SettingsError extends VError {
  constructor(
    /** Path of the field, such as `scheduling.fairness.enabled`. */
    readonly path: string,
    problem: string,
  ) {
    super('%s: %s', path, problem);
    this.name = 'SettingsError';
  }
}

/** Limits of a number in the settings. */
export interface INumberLimits {
  readonly min: number;
  readonly max: number;
}

/**
 * Every field is checked when it is read. Fields that were never read are unknown and rejected by
 * {@link finish}, so that a misspelt name doesn't silently leave a default in force.
 *
 * @example
 * const section = new SettingsSection('scheduling.returns', value);
 * const isEnabled = section.readFlag('enabled', false);
 * section.finish();
 */
export class SettingsSection {
  private readonly fields: Readonly<Record<string, unknown>>;
  private readonly known = new Set<string>();

  /** An undefined `value` is an empty section. */
  constructor(
    private readonly path: string,
    value: unknown,
  ) {
    if (value === undefined) {
      this.fields = {};
      return;
    }
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      throw new SettingsError(path, 'expected an object');
    }
    this.fields = value as Readonly<Record<string, unknown>>;
  }

  readFlag(name: string, fallback: boolean): boolean {
    const value = this.read(name) ?? fallback;
    if (typeof value === 'boolean') return value;
    throw new SettingsError(this.formatPath(name), 'expected true or false');
  }

  readNumber(name: string, fallback: number, limits: INumberLimits): number {
    return this.checkNumber(name, this.read(name) ?? fallback, limits);
  }

  /** Reads an object of numbers, such as one by route. */
  readNumbers(name: string, limits: INumberLimits): Readonly<Record<string, number>> {
    const { fields } = this.readSection(name);
    const entries = Object.entries(fields).map(([key, value]) => {
      return [key, this.checkNumber(`${name}.${key}`, value, limits)] as const;
    });
    return Object.fromEntries(entries);
  }

  /** Reads a nested section; an absent one is empty. */
  readSection(name: string): SettingsSection {
    return new SettingsSection(this.formatPath(name), this.read(name));
  }

  /** Throws a SettingsError if the section has fields that were not read. */
  finish(): void {
    for (const name of Object.keys(this.fields)) {
      if (!this.known.has(name)) throw new SettingsError(this.formatPath(name), 'unknown field');
    }
  }

  private read(name: string): unknown {
    this.known.add(name);
    return this.fields[name];
  }

  private checkNumber(name: string, value: unknown, { max, min }: INumberLimits): number {
    const isValid = typeof value === 'number' && value >= min && value <= max;
    if (isValid) return value;
    throw new SettingsError(this.formatPath(name), `expected a number from ${min} to ${max}`);
  }

  private formatPath(name: string): string {
    return `${this.path}.${name}`;
  }
}
