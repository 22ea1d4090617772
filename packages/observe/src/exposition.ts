/** A metric family of the Prometheus text exposition format. */
export interface MetricFamily {
  readonly name: string
  readonly help: string
  readonly type: "counter" | "gauge" | "summary"
  readonly samples: readonly MetricSample[]
}

/** One sample line of a metric family. */
export interface MetricSample {
  /** Appended to the family's name, for example `_sum`. */
  readonly suffix?: string
  readonly labels: readonly MetricLabel[]
  readonly value: number
}

/** A name and value that distinguish a sample within its family. */
export interface MetricLabel {
  readonly name: string
  readonly value: string
}

/** Formats families in the Prometheus text exposition format, version 0.0.4. */
export function formatExposition(families: readonly MetricFamily[]): string {
  return families.map(formatFamily).join("")
}

function formatFamily({ name, help, type, samples }: MetricFamily): string {
  const head = `# HELP ${name} ${help}\n# TYPE ${name} ${type}\n`
  return head + samples.map((sample) => formatSample(name, sample)).join("")
}

function formatSample(name: string, { suffix = "", labels, value }: MetricSample): string {
  const pairs = labels.map((label) => `${label.name}="${formatLabelValue(label.value)}"`).join(",")
  return `${name}${suffix}${pairs && `{${pairs}}`} ${formatNumber(value)}\n`
}

function formatNumber(value: number): string {
  if (value === Infinity) return "+Inf"
  if (value === -Infinity) return "-Inf"
  return String(value)
}

function formatLabelValue(value: string): string {
  return value.replace(/\\/g, "\\\\").replace(/"/g, '\\"').replace(/\n/g, "\\n")
}
