/** Plots detection time against false ejections as a self-contained SVG. */
import { scaleLinear, scaleLog } from 'd3-scale';
import { line } from 'd3-shape';

/** One setting of a policy. */
export interface ICurvePoint {
  readonly label: string;
  readonly falsePerTargetHour: number;
  readonly detectionMs: number;
}

/** The settings of one policy. */
export interface ICurve {
  readonly name: string;
  readonly color: string;
  readonly points: readonly ICurvePoint[];
}

const WIDTH = 720;
const HEIGHT = 420;
const MARGIN = { top: 40, right: 20, bottom: 50, left: 70 };
/** A logarithmic axis has no zero: a rate of 0 is drawn at the left end. */
const MIN_RATE = 0.05;
const RATE_TICKS: readonly number[] = [0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20];
const LEGEND_STEP = 18;

/** Renders the curves with logarithmic axes. Targets never detected are drawn at `maxMs`, the top. */
export function renderCurves(title: string, curves: readonly ICurve[], maxMs: number): string {
  const x = scaleLog([MIN_RATE, 40], [MARGIN.left, WIDTH - MARGIN.right]);
  const y = scaleLog([10, maxMs], [HEIGHT - MARGIN.bottom, MARGIN.top]);
  const legend = scaleLinear([0, 1], [MARGIN.top, MARGIN.top + LEGEND_STEP]);
  const toX = (point: ICurvePoint) => x(Math.max(MIN_RATE, point.falsePerTargetHour));
  const toY = (point: ICurvePoint) => y(Math.min(maxMs, Math.max(10, point.detectionMs)));
  const path = line<ICurvePoint>(toX, toY);
  const drawn = curves.map((curve, index) => {
    const dots = curve.points.map((point) => {
      const at = `cx="${toX(point).toFixed(1)}" cy="${toY(point).toFixed(1)}"`;
      return `<circle ${at} r="3.5" fill="${curve.color}"><title>${curve.name} ${point.label}</title></circle>`;
    });
    const labels = curve.points.map((point) => {
      const at = `x="${(toX(point) + 5).toFixed(1)}" y="${(toY(point) - 5).toFixed(1)}"`;
      return `<text ${at} fill="${curve.color}">${point.label}</text>`;
    });
    return [
      `<path d="${path([...curve.points]) ?? ''}" fill="none" stroke="${curve.color}"/>`,
      ...dots,
      ...labels,
      `<text x="${WIDTH - 190}" y="${legend(index)}" fill="${curve.color}">${curve.name}</text>`,
    ].join('\n');
  });
  const yTicks = y.ticks().filter((tick) => /^[125]0*$/.test(String(tick)));
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<text x="${MARGIN.left}" y="20" font-size="14">${title}</text>`,
    ...RATE_TICKS.map((tick) => {
      return `<text x="${x(tick).toFixed(1)}" y="${HEIGHT - 30}" text-anchor="middle">${tick === MIN_RATE ? '0' : tick}</text>`;
    }),
    ...yTicks.map((tick) => {
      const at = y(tick).toFixed(1);
      return `<text x="${MARGIN.left - 8}" y="${at}" text-anchor="end">${tick === maxMs ? 'never' : tick}</text><path d="M${MARGIN.left},${at}H${WIDTH - MARGIN.right}" stroke="#ddd"/>`;
    }),
    `<text x="${WIDTH / 2}" y="${HEIGHT - 8}" text-anchor="middle">false ejections per target-hour</text>`,
    `<text transform="translate(16,${HEIGHT / 2}) rotate(-90)" text-anchor="middle">median detection time, ms</text>`,
    ...drawn,
    '</svg>\n',
  ].join('\n');
}
