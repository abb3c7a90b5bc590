/** Least-squares line fit of measured points. */

/** One measured point. */
export interface IPoint {
  readonly x: number;
  readonly y: number;
}

/** A least-squares line. `standardError` is that of the slope. */
export interface ILinearFit {
  readonly slope: number;
  readonly intercept: number;
  readonly standardError: number;
}

/**
 * Fits a line. With fewer than three points, `standardError` is NaN.
 *
 * @example
 * const { slope, intercept, standardError } = computeLinearFit(points);
 */
export function computeLinearFit(points: readonly IPoint[]): ILinearFit {
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
  const intercept = meanY - slope * meanX;
  const residualSum = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  const standardError = count > 2 ? Math.sqrt(residualSum / (count - 2) / sumXx) : NaN;
  return { slope, intercept, standardError };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
