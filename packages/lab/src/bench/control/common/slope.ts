/** Straight lines through measured points. */

/** One measurement. */
export interface IPoint {
  readonly x: number;
  readonly y: number;
}

/** Least-squares line; `spread` is the standard error of the slope. */
export interface ISlope {
  readonly slope: number;
  readonly base: number;
  readonly spread: number;
}

/**
 * Fits a line. At least three points are needed for a spread.
 *
 * @example
 * const { slope, base, spread } = computeSlope(points);
 */
export function computeSlope(points: readonly IPoint[]): ISlope {
  const count = points.length;
  const meanX = computeMean(points.map(({ x }) => x));
  const meanY = computeMean(points.map(({ y }) => y));
  let sumXx = 0;
  let sumXy = 0;
  for (const { x, y } of points) {
    sumXx += (x - meanX) ** 2;
    sumXy += (x - meanX) * (y - meanY);
  }
  const slope = sumXy / sumXx;
  const base = meanY - slope * meanX;
  const residue = points.reduce((sum, { x, y }) => sum + (y - base - slope * x) ** 2, 0);
  const spread = count > 2 ? Math.sqrt(residue / (count - 2) / sumXx) : NaN;
  return { slope, base, spread };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
