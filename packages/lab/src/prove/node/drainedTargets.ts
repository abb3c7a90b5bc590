/** Checks that drained targets get no new work. */
import type { IExecution } from '@parsleymux/standins';
import type { ILabTarget } from '../../processes/common/worldLayout.js';
import type { Findings } from '../common/findings.js';

/**
 * Time after the confirmation in which new work is allowed, in ms: a drain is guaranteed to take effect
 * within a few seconds. A node that reaches neither store nor peers continues with its last configuration
 * until its isolation limit, 5 s in the lab; the plan may take another second.
 */
const GRACE_MS = 6000;

interface ISpan {
  readonly member: string;
  readonly control: string;
  readonly sinceMs: number;
  untilMs: number;
}

/** One confirmation of a plan, numbered per member. */
export interface IConfirmation {
  readonly member: string;
  readonly count: number;
}

/**
 * Records the time spans in which targets are drained and compares them with executions.
 *
 * @example
 * const confirmation = drained.startConfirmation(target.member, Date.now());
 * drained.open(target, confirmation, Date.now());
 */
export class DrainedTargets {
  private readonly spans: ISpan[] = [];
  private readonly confirmations = new Map<string, number>();

  /**
   * Ends the member's open spans. Call it before any plan of the member is confirmed, since an intent
   * replaces the previous one and may end its drains.
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
   * Starts the span of a target that a confirmation drained, unless a later confirmation was started. That
   * one may have ended the drain before the result of this one was known.
   */
  open(target: ILabTarget, confirmation: IConfirmation, sinceMs: number): void {
    const { member, control } = target;
    if (this.confirmations.get(member) !== confirmation.count) return;
    this.spans.push({ member, control, sinceMs, untilMs: Infinity });
  }

  /** Compares all spans with all executions; `findTarget` returns the address that a target listens on. */
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
