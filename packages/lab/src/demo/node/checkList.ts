/** Named checks whose results are printed immediately. */

/**
 * Prints the result of each check and counts the failures.
 *
 * @example
 * const checks = new CheckList();
 * checks.check('every node is ready', ready === 5, `${ready} of 5`);
 */
export class CheckList {
  private failures = 0;

  /** Prints one line with the result and counts a failure. */
  check(name: string, isPassed: boolean, detail: string): void {
    if (!isPassed) this.failures += 1;
    console.log(`${isPassed ? 'PASS' : 'FAIL'}  ${name}: ${detail}`);
  }

  getFailureCount(): number {
    return this.failures;
  }
}
