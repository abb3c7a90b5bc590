/** Times during which targets were to see no new work. */
import type { IExecution } from '@parsleymux/standins';
import type { ILabTarget } from '../../processes/common/worldLayout.js';
import type { Findings } from '../common/findings.js';

/**
 * The promise is "after a few seconds". A node that hears from neither store nor peers works on
 * with what it knows until its isolation limit, 5 s in the lab; a second more is for the plan.
 */
const GRACE_MS = 6000;

interface ISpan {
  readonly member: string;
  readonly control: string;
  readonly sinceMs: number;
  untilMs: number;
}

/** One confirmation among those of its member. */
export interface IConfirmation {
  readonly member: string;
  readonly count: number;
}

/**
 * Remembers spans and compares them with executions.
 *
 * @example
 * const confirmation = leaving.startConfirmation(target.member, Date.now());
 * leaving.open(target, confirmation, Date.now());
 */
export class DrainedTargets {
  private readonly spans: ISpan[] = [];
  private readonly confirmations = new Map<string, number>();

  /**
   * Call it right before any plan of the member is confirmed: an intent replaces the former one
   * whole, and with it the drain. Ends the member's open spans.
   */
  startConfirmation(member: string, nowMs: number): IConfirmation {
    for (const span of this.spans) {
      if (span.member === member) span.untilMs = Math.min(span.untilMs, nowMs);
    }
    const count = (this.confirmations.get(member) ?? 0) + 1;
    this.confirmations.set(member, count);
    return { member, count };
  }

  /**
   * Begins the span of a target that a confirmation drained, unless another was started since:
   * that one may have taken the drain back before we came to know that ours took effect.
   */
  open(target: ILabTarget, confirmation: IConfirmation, sinceMs: number): void {
    const { member, control } = target;
    if (this.confirmations.get(member) !== confirmation.count) return;
    this.spans.push({ member, control, sinceMs, untilMs: Infinity });
  }

  /** Compares with all executions; `findTarget` gives a target's own address. */
  checkAll(
    executions: readonly IExecution[],
    findTarget: (control: string) => string,
    findings: Findings,
  ): void {
    for (const { control, sinceMs, untilMs } of this.spans) {
      const target = findTarget(control);
      const late = executions.filter((execution) => {
        const { startedAtMs } = execution;
        const isInSpan = startedAtMs > sinceMs + GRACE_MS && startedAtMs < untilMs;
        return execution.target === target && isInSpan;
      });
      findings.check('no new work for a leaving target', late.length === 0, () => {
        const last = late.at(-1);
        const lastMs = (last?.startedAtMs ?? 0) - sinceMs;
        const which = `request "${last?.requestId ?? ''}", plan at ${new Date(sinceMs).toISOString()}`;
        return `${target}: ${late.length} executions, the last ${lastMs} ms after the plan, ${which}`;
      });
    }
  }
}
