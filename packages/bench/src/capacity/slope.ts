/** A value measured at one size, such as a number of VMs. */
export interface Measurement {
  size: number;
  value: number;
}

/** Growth of a measured quantity with the size of its input. */
export interface Slope {
  /** Name under which the capacity page lists the slope. */
  id: string;
  /** Whether every run measures the same values, so that the slope can be compared with the capacity page. */
  isReproducible: boolean;
  measurements: readonly Measurement[];
  /** Increase of the measured value, in `unit`, per unit of size. */
  perUnit: number;
  unit: string;
}

/** Fits a straight line by least squares and returns its slope, or 0 when all sizes are equal. */
export function fitSlope(measurements: readonly Measurement[]): number {
  const meanSize = mean(measurements.map((measurement) => measurement.size));
  const meanValue = mean(measurements.map((measurement) => measurement.value));
  let covariance = 0;
  let variance = 0;
  for (const measurement of measurements) {
    covariance += (measurement.size - meanSize) * (measurement.value - meanValue);
    variance += (measurement.size - meanSize) ** 2;
  }
  return variance === 0 ? 0 : covariance / variance;
}

/** Measures a quantity at several sizes and fits the slope. */
export function measureSlope(
  id: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
  isReproducible = true,
): Slope {
  const measurements = sizes.map((size) => ({ size, value: measure(size) }));
  return { id, isReproducible, measurements, perUnit: fitSlope(measurements), unit };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
