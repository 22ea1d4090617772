import { type Clock, type Rank, RANKS } from "@galenaway/core"
import {
  formatExposition,
  type MetricFamily,
  type MetricLabel,
  type MetricSample,
} from "./exposition.js"
import type {
  CounterMetric,
  DurationMetric,
  GaugeMetric,
  Metrics,
  RankCounterMetric,
  RankDurationMetric,
} from "./metrics.js"
import { DurationWindow } from "./window.js"

const NAME_PREFIX = "galenaway_"
const QUANTILES = [0.5, 0.95, 0.99]

const RANK_DURATION_HELP: Readonly<Record<RankDurationMetric, string>> = {
  wait: "Time from a request's arrival to its grant.",
  "first-token": "Time from a request's arrival to its first token.",
  "between-tokens": "Time between two tokens of one answer.",
}

const DURATION_HELP: Readonly<Record<DurationMetric, string>> = {
  load: "Time from the order to load an adapter to its answer.",
  stall: "Time that a request waited for an adapter to load.",
  "platform-call": "Time of one call to the platform's service.",
  tick: "Time of one tick of the scheduler.",
  "expected-completion":
    "Expected time until the answers to plain calls whose endpoint was chosen by it.",
  "actual-completion":
    "Actual time until the answers to plain calls whose endpoint was chosen by the expected one.",
}

const RANK_COUNTER_HELP: Readonly<Record<RankCounterMetric, string>> = {
  requests: "Requests received.",
  refusals: "Requests refused without being run.",
  failures: "Requests that failed after they may have run.",
  cancellations: "Requests that their callers canceled.",
}

const COUNTER_HELP: Readonly<Record<CounterMetric, string>> = {
  loads: "Adapter loads ordered.",
  "load-failures": "Adapter loads that failed.",
  evictions: "Adapters evicted.",
  grants: "Grants given as an owner.",
  "ownership-changes": "Endpoints gained or lost as an owner.",
  "platform-reads": "Reads of the platform's service.",
  "platform-writes": "Writes to the platform's service.",
  "platform-watches": "Watches of the platform's service; each wait is one call.",
  "platform-failures": "Calls to the platform's service that failed.",
  resumes: "Streams resumed on a fresh connection.",
  claims: "Idempotency keys claimed.",
  "engine-ends": "Engines that ended while they answered requests of this instance.",
  "cut-answers": "Answers that were ended after they had begun.",
  "quarantine-refusals": "Requests refused because a part of their prompt ends engines.",
  "choices-by-load": "Plain calls whose endpoint was chosen by its number of requests.",
  "choices-by-completion": "Plain calls whose endpoint was chosen by the expected completion.",
  "quota-refusals": "Requests refused because their account's quota was used up.",
  "quota-outage-refusals":
    "Requests refused because the allocator of their account's quota didn't answer.",
  "quota-reports": "Reports sent to the allocators of accounts' quotas.",
  "unready-periods": "Times that the instance wasn't ready because it delayed its answers.",
  "slow-refusals": "Requests refused because the instance would have delayed them too long.",
  overflows: "Times that a full data centre began to send its requests to another one.",
  "caller-closes": "Connections of callers that were closed to protect this process.",
  "unread-answers": "Answers that were cut because their callers did not read them.",
  "body-refusals": "Requests refused because their body did not fit or did not arrive.",
}

const GAUGE_HELP: Readonly<Record<GaugeMetric, string>> = {
  "batch-fill": "Share of the owned engines' batches in use, 0 to 1.",
  queued: "Requests queued as an owner.",
  running: "Requests running on owned endpoints.",
  "suspected-parts": "Prompt parts that may end engines.",
  "quarantined-parts": "Prompt parts that no engine gets.",
  "own-delay": "Time in ms that the instance itself adds until an answer begins.",
  "processor-use": "Processor time in use, as a share of what the instance may use.",
  "caller-connections": "Open connections of callers.",
  "held-bytes": "Bytes held for callers.",
}

/** Metrics that can be read. Their memory is allocated at creation and doesn't grow. */
export interface MetricsRegistry extends Metrics {
  /** Formats all metrics in the Prometheus text exposition format. */
  formatMetrics(): string
  /** Estimates the memory of all histograms in bytes. */
  estimateBytes(): number
}

/** Creates the metrics of one process. Quantiles cover the last one to two minutes of the clock. */
export function createMetrics(clock: Clock): MetricsRegistry {
  return new HdrMetrics(clock)
}

class HdrMetrics implements MetricsRegistry {
  private readonly rankDurations = createTable(RANK_DURATION_HELP, () => createByRank(createWindow))
  private readonly durations = createTable(DURATION_HELP, createWindow)
  private readonly rankCounters = createTable(RANK_COUNTER_HELP, () => createByRank(createValue))
  private readonly counters = createTable(COUNTER_HELP, createValue)
  private readonly gauges = createTable(GAUGE_HELP, createValue)

  constructor(private readonly clock: Clock) {}

  recordRankDuration(metric: RankDurationMetric, rank: Rank, ms: number): void {
    this.rankDurations[metric][rank].add(ms, this.clock.now())
  }

  recordDuration(metric: DurationMetric, ms: number): void {
    this.durations[metric].add(ms, this.clock.now())
  }

  countRank(metric: RankCounterMetric, rank: Rank): void {
    this.rankCounters[metric][rank].value++
  }

  count(metric: CounterMetric, increment = 1): void {
    if (increment > 0) this.counters[metric].value += increment
  }

  setGauge(metric: GaugeMetric, value: number): void {
    this.gauges[metric].value = value
  }

  formatMetrics(): string {
    return formatExposition([
      ...listKeys(RANK_DURATION_HELP).map((key) => this.createRankSummary(key)),
      ...listKeys(DURATION_HELP).map((key) => this.createSummary(key)),
      ...listKeys(RANK_COUNTER_HELP).map((key) => this.createRankCounter(key)),
      ...listKeys(COUNTER_HELP).map((key) =>
        createTotalCounter(key, COUNTER_HELP[key], this.counters[key]),
      ),
      ...listKeys(GAUGE_HELP).map((key) => createGauge(key, GAUGE_HELP[key], this.gauges[key])),
    ])
  }

  estimateBytes(): number {
    const byRank = listKeys(this.rankDurations).flatMap((key) =>
      Object.values(this.rankDurations[key]),
    )
    const windows = [...byRank, ...Object.values(this.durations)]
    return windows.reduce((sum, window) => sum + window.estimateBytes(), 0)
  }

  private createRankSummary(key: RankDurationMetric): MetricFamily {
    const samples = RANKS.flatMap((rank) =>
      createSummarySamples(this.rankDurations[key][rank], createRankLabels(rank), this.clock.now()),
    )
    return {
      name: formatMetricName(key, "_seconds"),
      help: RANK_DURATION_HELP[key],
      type: "summary",
      samples,
    }
  }

  private createSummary(key: DurationMetric): MetricFamily {
    const samples = createSummarySamples(this.durations[key], [], this.clock.now())
    return {
      name: formatMetricName(key, "_seconds"),
      help: DURATION_HELP[key],
      type: "summary",
      samples,
    }
  }

  private createRankCounter(key: RankCounterMetric): MetricFamily {
    const samples = RANKS.map((rank) => ({
      labels: createRankLabels(rank),
      value: this.rankCounters[key][rank].value,
    }))
    return {
      name: formatMetricName(key, "_total"),
      help: RANK_COUNTER_HELP[key],
      type: "counter",
      samples,
    }
  }
}

interface MutableValue {
  value: number
}

function createValue(): MutableValue {
  return { value: 0 }
}

function createWindow(): DurationWindow {
  return new DurationWindow()
}

function createByRank<T>(create: () => T): Record<Rank, T> {
  return { urgent: create(), standard: create(), bulk: create() }
}

function createTable<K extends string, T>(
  keys: Readonly<Record<K, string>>,
  create: () => T,
): Record<K, T> {
  return Object.fromEntries(listKeys(keys).map((key) => [key, create()])) as Record<K, T>
}

function listKeys<K extends string>(table: Readonly<Record<K, unknown>>): K[] {
  return Object.keys(table) as K[]
}

function createSummarySamples(
  window: DurationWindow,
  labels: readonly MetricLabel[],
  now: number,
): readonly MetricSample[] {
  const values = window.getQuantiles(QUANTILES, now)
  const { count, sum } = window.getTotals()
  const quantiles = QUANTILES.map((quantile, index) => ({
    labels: [...labels, { name: "quantile", value: String(quantile) }],
    value: values[index] ?? NaN,
  }))
  return [
    ...quantiles,
    { suffix: "_sum", labels, value: sum },
    { suffix: "_count", labels, value: count },
  ]
}

function createTotalCounter(
  key: CounterMetric,
  help: string,
  { value }: MutableValue,
): MetricFamily {
  const samples = [{ labels: [], value }]
  return { name: formatMetricName(key, "_total"), help, type: "counter", samples }
}

function createGauge(key: GaugeMetric, help: string, { value }: MutableValue): MetricFamily {
  return { name: formatMetricName(key, ""), help, type: "gauge", samples: [{ labels: [], value }] }
}

function createRankLabels(rank: Rank): readonly MetricLabel[] {
  return [{ name: "rank", value: rank }]
}

function formatMetricName(key: string, unit: string): string {
  return `${NAME_PREFIX}${key.replaceAll("-", "_")}${unit}`
}
