/** A value that was measured at one size. */
export interface Measurement {
  readonly size: number
  readonly value: number
}

/** A straight line fitted to measurements. */
export interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: the share of the variance that the line explains, 0 to 1. */
  readonly r2: number
}

/** Fits a line to measurements by least squares. */
export function computeLineFit(measurements: readonly Measurement[]): LineFit {
  const meanSize = computeMean(measurements.map(({ size }) => size))
  const meanValue = computeMean(measurements.map(({ value }) => value))
  const sizeSquares = computeSum(measurements, ({ size }) => (size - meanSize) ** 2)
  const products = computeSum(
    measurements,
    ({ size, value }) => (size - meanSize) * (value - meanValue),
  )
  const slope = products / sizeSquares
  const intercept = meanValue - slope * meanSize
  const totalSquares = computeSum(measurements, ({ value }) => (value - meanValue) ** 2)
  const residualSquares = computeSum(
    measurements,
    ({ size, value }) => (value - intercept - slope * size) ** 2,
  )
  return { slope, intercept, r2: totalSquares === 0 ? 1 : 1 - residualSquares / totalSquares }
}

/** Fits a line to measurements, prints it with the measurements, and returns it. */
export function printFit(
  name: string,
  unit: string,
  measurements: readonly Measurement[],
): LineFit {
  const fit = computeLineFit(measurements)
  const values = measurements.map(({ size, value }) => `${size}: ${value.toFixed(1)}`).join(", ")
  const line = `${fit.intercept.toFixed(1)} + ${fit.slope.toFixed(3)} ${unit}`
  console.log(`${name}: ${line} (r2 ${fit.r2.toFixed(4)}; ${values})`)
  return fit
}

/** Computes the median, or the upper of the two middle values if their number is even. Returns NaN without values. */
export function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function computeSum(
  measurements: readonly Measurement[],
  read: (measurement: Measurement) => number,
): number {
  return measurements.reduce((sum, measurement) => sum + read(measurement), 0)
}
