/** Detection time against false ejections for varying thresholds of each policy. */
import type { IPolicySettings, PolicyName } from '../../../replay/common/policies.js';
import type { IReplayJob } from '../../../replay/node/replayPool.js';
import { runReplays } from '../../../replay/node/replayPool.js';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';
import type { ICurve, ICurvePoint } from '../common/curvePlot.js';
import { summarizeReplays } from '../common/detectionSummary.js';

/** Detection time drawn for targets that were never detected, in ms. */
export const UNDETECTED_MS = 50_000;

const MEMBERS = ['dobrescu', 'donautal'] as const;
const TRACES = ['fail-5', 'fail-20', 'fail-50', 'slow-3x', 'one-way-cut'] as const;
const CONTROLS = ['control', 'control-errors'] as const;
/** Limits the number of replays: the curves use only this many of the given seeds. */
const MAX_SEEDS = 3;

interface IVariant {
  readonly curve: string;
  readonly color: string;
  readonly label: string;
  readonly policy: PolicyName;
  readonly settings: IPolicySettings;
}

const VARIANTS: readonly IVariant[] = [
  ...[7, 10, 13, 16, 20, 26].map((threshold) => ({
    curve: 'sequential',
    color: '#1f5fb4',
    label: String(threshold),
    policy: 'sequential' as const,
    settings: { threshold },
  })),
  ...[3, 5, 8].map((errors) => ({
    curve: 'errors in a row',
    color: '#c03a2b',
    label: String(errors),
    policy: 'consecutive' as const,
    settings: { errors },
  })),
  {
    curve: 'success rate',
    color: '#2b8a3e',
    label: '1.9 sd',
    policy: 'success-rate',
    settings: {},
  },
];

/** The curves of one member on one trace. */
export interface IMeasuredCurves {
  readonly member: string;
  readonly trace: string;
  readonly curves: readonly ICurve[];
}

/** Replays every variant on the gray-failure traces and on the control traces. */
export async function measureCurves(
  seeds: readonly number[],
  threads: number,
  log: (line: string) => void,
): Promise<readonly IMeasuredCurves[]> {
  const jobs: IReplayJob[] = [];
  const variantOf: IVariant[] = [];
  for (const member of MEMBERS) {
    for (const name of [...CONTROLS, ...TRACES]) {
      for (const variant of VARIANTS) {
        for (const seed of seeds.slice(0, MAX_SEEDS)) {
          const { policy, settings } = variant;
          jobs.push({ trace: `${member}-${name}`, policy, seed, settings });
          variantOf.push(variant);
        }
      }
    }
  }
  log(`${jobs.length} replays for the curves`);
  const results = await runReplays(jobs, threads);
  const pick = (traces: readonly string[], variant: IVariant) => {
    const replays = results.filter((result, index) => {
      return traces.includes(result.trace) && variantOf[index] === variant;
    });
    return summarizeReplays(replays);
  };
  return MEMBERS.flatMap((member) => {
    const controls = CONTROLS.map((name) => `${member}-${name}`);
    return TRACES.map((trace) => {
      const points = VARIANTS.map((variant) => ({
        variant,
        falsePerTargetHour: pick(controls, variant).falsePerTargetHour,
        detectionMs: pick([`${member}-${trace}`], variant).medianMs,
      }));
      return { member, trace, curves: buildCurves(points) };
    });
  });
}

interface IMeasuredPoint {
  readonly variant: IVariant;
  readonly falsePerTargetHour: number;
  readonly detectionMs: number;
}

function buildCurves(points: readonly IMeasuredPoint[]): readonly ICurve[] {
  const names = [...new Set(points.map(({ variant }) => variant.curve))];
  return names.map((name) => {
    const curvePoints = points.filter(({ variant }) => variant.curve === name);
    return {
      name,
      color: curvePoints[0]?.variant.color ?? 'black',
      points: curvePoints.map(({ variant, falsePerTargetHour, detectionMs }) => ({
        label: variant.label,
        falsePerTargetHour,
        detectionMs,
      })),
    };
  });
}

/** Formats curves as a table. */
export function formatCurves(measured: IMeasuredCurves): IBenchTable {
  const rows = measured.curves.flatMap((curve) => {
    return curve.points.map((point) => [curve.name, point.label, ...formatPoint(point)]);
  });
  return {
    title: `${measured.member}, ${measured.trace}: over the threshold`,
    columns: ['policy', 'threshold', 'false per target-hour, controls', 'median ms'],
    rows,
  };
}

function formatPoint(point: ICurvePoint): readonly (string | number)[] {
  const time = point.detectionMs === Infinity ? 'never' : Math.round(point.detectionMs);
  return [formatNumber(point.falsePerTargetHour, 2), time];
}
