/** One measurement: a size and the amount measured at it. */
export interface Point {
  amount: number;
  size: number;
}

/** Amount by which a measure grows with a size. */
export interface Slope {
  /** Stable name that the capacity page uses. */
  id: string;
  points: readonly Point[];
  /** Whether the amount is a count that every run reproduces, and so is held against the page. */
  reproducible: boolean;
  unit: string;
  value: number;
}

/** Fits a straight line by least squares and gives its slope. */
export function fitSlope(points: readonly Point[]): number {
  const meanSize = mean(points.map((point) => point.size));
  const meanAmount = mean(points.map((point) => point.amount));
  let covariance = 0;
  let variance = 0;
  for (const point of points) {
    covariance += (point.size - meanSize) * (point.amount - meanAmount);
    variance += (point.size - meanSize) ** 2;
  }
  return variance === 0 ? 0 : covariance / variance;
}

/** Measures an amount at several sizes and fits the slope. */
export function measureSlope(
  id: string,
  unit: string,
  sizes: readonly number[],
  amountAt: (size: number) => number,
  reproducible = true,
): Slope {
  const points = sizes.map((size) => ({ amount: amountAt(size), size }));
  return { id, points, reproducible, unit, value: fitSlope(points) };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
