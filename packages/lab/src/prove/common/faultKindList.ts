/** Parses the kinds of faults on a command line. */

/**
 * Parses a comma-separated list of kinds; an empty text selects all. Throws on an unknown name.
 *
 * @example
 * const kinds = parseFaultKinds('node-kill,node-pause', FAULT_KINDS);
 */
export function parseFaultKinds<K extends string>(text: string, known: readonly K[]): readonly K[] {
  const names = text.split(',').filter((name) => name !== '');
  const unknown = names.find((name) => !known.some((kind) => kind === name));
  if (unknown !== undefined) {
    throw new Error(`there is no kind of fault "${unknown}"; there are ${known.join(', ')}`);
  }
  return known.filter((kind) => names.length === 0 || names.includes(kind));
}
