/**
 * Replaces one method of a class of the product, from outside. A broken variant of a mechanism
 * is needed to see that a run can fail; kept here, none of it can ever ship.
 */

/** A method whose types are not known here. */
export type LooseMethod = (this: LooseObject, ...args: readonly unknown[]) => unknown;

/** An object of the product as a broken variant sees it. */
export type LooseObject = Record<string, unknown>;

const PACKAGES = new URL('../../../../../', import.meta.url);

/**
 * Replaces a method. Throws when there is none of that name: after a renaming the break would
 * otherwise do nothing, and a run that should fail would pass.
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

/** Calls a method of an object of the product. */
export function executeLoose(object: LooseObject, name: string, ...args: unknown[]): unknown {
  return (object[name] as LooseMethod).apply(object, args);
}
