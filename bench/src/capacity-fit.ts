/** A measurement at one size. */
export interface Measurement {
  readonly size: number
  readonly value: number
}

/** A straight line through measurements. */
export interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Share of the spread that the line explains, 0 to 1. */
  readonly r2: number
}

/** Fits a line through measurements by least squares. */
export function computeLineFit(points: readonly Measurement[]): LineFit {
  const meanSize = computeMean(points.map(({ size }) => size))
  const meanValue = computeMean(points.map(({ value }) => value))
  const sizes = computeSum(points, ({ size }) => (size - meanSize) ** 2)
  const products = computeSum(points, ({ size, value }) => (size - meanSize) * (value - meanValue))
  const slope = products / sizes
  const intercept = meanValue - slope * meanSize
  const spread = computeSum(points, ({ value }) => (value - meanValue) ** 2)
  const left = computeSum(points, ({ size, value }) => (value - intercept - slope * size) ** 2)
  return { slope, intercept, r2: spread === 0 ? 1 : 1 - left / spread }
}

/** Prints a fit with the measurements behind it, and returns it. */
export function printFit(name: string, unit: string, points: readonly Measurement[]): LineFit {
  const fit = computeLineFit(points)
  const values = points.map(({ size, value }) => `${size}: ${value.toFixed(1)}`).join(", ")
  const line = `${fit.intercept.toFixed(1)} + ${fit.slope.toFixed(3)} ${unit}`
  console.log(`${name}: ${line} (r2 ${fit.r2.toFixed(4)}; ${values})`)
  return fit
}

/** Computes the median of some values. */
export function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function computeSum(points: readonly Measurement[], value: (point: Measurement) => number): number {
  return points.reduce((sum, point) => sum + value(point), 0)
}
