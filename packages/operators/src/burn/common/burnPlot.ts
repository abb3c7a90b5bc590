/** Renders the plot of one service's burn rate over three days. */
import { MS_PER_DAY, MS_PER_HOUR } from '@parsleymux/base';
import type { ServiceBurn } from '@parsleymux/schema';
import { scaleSymlog, scaleUtc } from 'd3-scale';
import { line } from 'd3-shape';
import type { ISlotCounts } from './burnRates.js';
import { computeBurnRatesAt } from './burnRates.js';

const WIDTH = 960;
const HEIGHT = 260;
const MARGIN = { top: 14, right: 96, bottom: 26, left: 48 };
const PLOT_SPAN_MS = 3 * MS_PER_DAY;
const TICK_LENGTH = 5;
const LABEL_GAP = 14;
/** Minimum upper end of the burn axis, so that all of the guides are visible. */
const MIN_TOP_BURN = 20;
const X_TICKS = 7;
/** No burn, a burn that spends exactly the budget, and the limits of the two page alerts. */
const GUIDES = [0, 1, 6, 14.4] as const;
/** Guides that are drawn only if the burn reaches them. */
const HIGH_BURN_GUIDES = [100, 1000] as const;

const AVAILABILITY_COLOR = '#a4161a';
const LATENCY_COLOR = '#1c5d99';
const GUIDE_COLOR = '#c5ccd3';
const TEXT_COLOR = '#505a64';

interface IPoint {
  readonly atMs: number;
  readonly burn: number;
}

interface ISeries {
  readonly name: string;
  readonly color: string;
  readonly points: readonly IPoint[];
}

/**
 * Renders an SVG with the burn rate over the hour before each slot.
 *
 * @example
 * const svg = renderBurnPlot(service, Number(report.atMs));
 */
export function renderBurnPlot(service: ServiceBurn, nowMs: number): string {
  const series = listSeries(service);
  const highest = Math.max(...series.flatMap(({ points }) => points.map(({ burn }) => burn)), 0);
  const x = scaleUtc([nowMs - PLOT_SPAN_MS, nowMs], [MARGIN.left, WIDTH - MARGIN.right]);
  const y = scaleSymlog([0, Math.max(MIN_TOP_BURN, highest)], [HEIGHT - MARGIN.bottom, MARGIN.top]);
  const guides = [...GUIDES, ...HIGH_BURN_GUIDES.filter((tick) => tick <= highest)];
  const parts = [
    ...guides.map((burn) => renderGuide(y(burn), String(burn))),
    ...x
      .ticks(X_TICKS)
      .map((tick) => renderTimeTick(x(tick), x.tickFormat(X_TICKS, '%d %b %H:%M')(tick))),
    ...series.map(({ points, color }) => {
      const draw = line<IPoint>(
        (point) => x(point.atMs),
        (point) => y(point.burn),
      );
      const path = draw([...points]) ?? '';
      return `<path d="${path}" fill="none" stroke="${color}" stroke-width="1.8" stroke-linejoin="round"/>`;
    }),
    ...renderLabels(series, y),
  ];
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" font-size="12" font-family="system-ui, sans-serif">
<title>Burn of the hour before, over the last three days</title>
${parts.join('\n')}
</svg>`;
}

function listSeries(service: ServiceBurn): readonly ISeries[] {
  const slots: readonly ISlotCounts[] = service.points.map((point) => ({
    slotMs: Number(point.startMs),
    counts: {
      requests: Number(point.counts?.requests ?? 0n),
      failed: Number(point.counts?.failed ?? 0n),
      slow: Number(point.counts?.slow ?? 0n),
    },
  }));
  const burns = slots.map(({ slotMs }) => {
    return { atMs: slotMs, ...computeBurnRatesAt(slots, service.objective, slotMs, MS_PER_HOUR) };
  });
  return [
    {
      name: 'availability',
      color: AVAILABILITY_COLOR,
      points: burns.map(({ atMs, availability }) => ({ atMs, burn: availability })),
    },
    {
      name: 'latency',
      color: LATENCY_COLOR,
      points: burns.map(({ atMs, latency }) => ({ atMs, burn: latency })),
    },
  ];
}

function renderGuide(y: number, label: string): string {
  const end = WIDTH - MARGIN.right;
  return (
    `<line x1="${MARGIN.left}" x2="${end}" y1="${y}" y2="${y}" stroke="${GUIDE_COLOR}"/>` +
    `<text x="${MARGIN.left - 8}" y="${y + 4}" text-anchor="end" fill="${TEXT_COLOR}">${label}</text>`
  );
}

function renderTimeTick(x: number, label: string): string {
  const y = HEIGHT - MARGIN.bottom;
  return (
    `<line x1="${x}" x2="${x}" y1="${y}" y2="${y + TICK_LENGTH}" stroke="${GUIDE_COLOR}"/>` +
    `<text x="${x}" y="${y + 18}" text-anchor="middle" fill="${TEXT_COLOR}">${label}</text>`
  );
}

/** Places each label at the end of its line, and moves labels apart where lines end close together. */
function renderLabels(series: readonly ISeries[], y: (burn: number) => number): readonly string[] {
  const labels = series
    .map(({ name, color, points }) => ({ name, color, at: y(points.at(-1)?.burn ?? 0) }))
    .sort((left, right) => left.at - right.at);
  let previousTop = Infinity;
  return labels.reverse().map(({ name, color, at }) => {
    const top = Math.min(at, previousTop - LABEL_GAP);
    previousTop = top;
    const x = WIDTH - MARGIN.right + 8;
    return `<text x="${x}" y="${top + 4}" fill="${color}" font-weight="600">${name}</text>`;
  });
}
