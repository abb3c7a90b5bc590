/** Times during which targets were to see no new work. */
import type { IExecution } from '@parsleymux/standins';
import type { ITargetPlace } from '../../processes/common/worldLayout.js';
import type { Findings } from './findings.js';

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

/**
 * Remembers spans and compares them with executions.
 *
 * @example
 * leaving.open(place, Date.now());
 * leaving.close(place.member, Date.now());
 */
export class LeavingTargets {
  private readonly spans: ISpan[] = [];

  /** Begins a span of a target. */
  open(place: ITargetPlace, sinceMs: number): void {
    const { member, control } = place;
    this.spans.push({ member, control, sinceMs, untilMs: Infinity });
  }

  /**
   * Ends the member's open spans. Call it before any further plan of the member is confirmed:
   * an intent replaces the former one whole, and with it the drain.
   */
  close(member: string, nowMs: number): void {
    for (const span of this.spans) {
      if (span.member === member) span.untilMs = Math.min(span.untilMs, nowMs);
    }
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
        const lastMs = Math.max(...late.map(({ startedAtMs }) => startedAtMs - sinceMs));
        return `${target}: ${late.length} executions, the last ${lastMs} ms after the plan`;
      });
    }
  }
}
