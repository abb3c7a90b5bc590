/**
 * Replaces a method of a class in the shipped packages from outside. Runs need variants with a disabled
 * mechanism to show that their checks can fail; defining these here keeps them out of the shipped code.
 */

/** A method without static types. */
export type LooseMethod = (this: LooseObject, ...args: readonly unknown[]) => unknown;

/** An object of a shipped class without static types. */
export type LooseObject = Record<string, unknown>;

const PACKAGES = new URL('../../../../../', import.meta.url);

/**
 * Replaces a method. Throws when there is no method of that name; otherwise a break would have no effect
 * after a rename, and a run that should fail would pass.
 *
 * @example
 * await wrapMethod('claims/dist/guard/common/claimGuard.js', 'ClaimGuard', 'execute', (original) => ...);
 */
export async function wrapMethod(
  module: string,
  className: string,
  methodName: string,
  make: (original: LooseMethod) => LooseMethod,
): Promise<void> {
  const loaded = (await import(new URL(module, PACKAGES).href)) as Record<
    string,
    { readonly prototype: Record<string, LooseMethod> } | undefined
  >;
  const prototype = loaded[className]?.prototype;
  const original = prototype?.[methodName];
  if (prototype === undefined || typeof original !== 'function') {
    throw new Error(`there is no ${className}.${methodName} in ${module}`);
  }
  prototype[methodName] = make(original);
}

/** Calls a method of an object by name. */
export function executeLoose(object: LooseObject, name: string, ...args: unknown[]): unknown {
  return (object[name] as LooseMethod).apply(object, args);
}
