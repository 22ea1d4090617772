import { expect } from "chai"
import fc from "fast-check"
import { createMetrics, type MetricsRegistry } from "@galenaway/observe"
import { createClock, SEED } from "./history.js"

const WINDOW_MS = 60_000
const SAMPLE = /^galenaway_[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? (NaN|[-+0-9.eInf]+)$/

it("every sample stands under the HELP and TYPE lines of its family", () => {
  let family = ""
  const misplacedLines: string[] = []
  for (const line of createFilledMetrics().formatMetrics().trimEnd().split("\n")) {
    const head = /^# (?:HELP (\S+) .+|TYPE (\S+) (counter|gauge|summary))$/.exec(line)
    if (head?.[1] !== undefined) family = head[1]
    else if (head ? head[2] !== family : !SAMPLE.test(line) || !line.startsWith(family))
      misplacedLines.push(line)
  }
  expect(misplacedLines).to.deep.equal([])
})

it("counters, gauges and summaries have the recorded values", () => {
  const lines = createFilledMetrics().formatMetrics().split("\n")
  expect(lines).to.include.members([
    'galenaway_requests_total{rank="urgent"} 1',
    'galenaway_requests_total{rank="bulk"} 0',
    "galenaway_platform_watches_total 3",
    "galenaway_batch_fill 0.75",
    'galenaway_first_token_seconds_count{rank="urgent"} 2',
    'galenaway_first_token_seconds_sum{rank="urgent"} 0.4',
    'galenaway_stall_seconds{quantile="0.5"} NaN',
  ])
})

it("quantiles are within one in a hundred of the exact ones", () => {
  const durations = fc.array(fc.double({ min: 0.01, max: 1e6, noNaN: true }), { minLength: 1 })
  fc.assert(
    fc.property(durations, (values) => {
      const metrics = createMetrics(createClock())
      for (const ms of values) metrics.recordDuration("load", ms)
      const sorted = [...values].sort((a, b) => a - b)
      const exact = (sorted[Math.ceil(0.95 * sorted.length) - 1] ?? 0) / 1000
      const found = readSample(metrics, 'galenaway_load_seconds{quantile="0.95"}')
      expect(Math.abs(found - exact)).to.be.at.most(exact * 0.01 + 1e-6)
    }),
    { seed: SEED },
  )
})

it("quantiles leave out old durations and totals include them", () => {
  const clock = createClock()
  const metrics = createMetrics(clock)
  metrics.recordDuration("load", 9000)
  clock.nowMs = 2 * WINDOW_MS
  metrics.recordDuration("load", 100)
  expect(readSample(metrics, 'galenaway_load_seconds{quantile="0.99"}')).to.be.closeTo(0.1, 0.001)
  expect(readSample(metrics, "galenaway_load_seconds_count")).to.equal(2)
})

it("quantiles keep the durations of the window before", () => {
  const clock = createClock()
  const metrics = createMetrics(clock)
  metrics.recordDuration("load", 9000)
  clock.nowMs = WINDOW_MS
  metrics.recordDuration("load", 100)
  expect(readSample(metrics, 'galenaway_load_seconds{quantile="0.99"}')).to.be.closeTo(9, 0.09)
})

it("memory of the histograms stays the same whatever is recorded", () => {
  const clock = createClock()
  const metrics = createMetrics(clock)
  const before = metrics.estimateBytes()
  for (const ms of [-1, 0, 1e-9, 1, 1e12, Infinity, NaN])
    for (let window = 0; window < 4; window++) {
      clock.nowMs += WINDOW_MS
      metrics.recordDuration("stall", ms)
    }
  expect(metrics.estimateBytes()).to.equal(before)
  expect(readSample(metrics, "galenaway_stall_seconds_count")).to.equal(24)
})

function createFilledMetrics(): MetricsRegistry {
  const metrics = createMetrics(createClock())
  metrics.countRank("requests", "urgent")
  metrics.count("platform-watches", 3)
  metrics.setGauge("batch-fill", 0.75)
  metrics.recordRankDuration("first-token", "urgent", 100)
  metrics.recordRankDuration("first-token", "urgent", 300)
  return metrics
}

function readSample(metrics: MetricsRegistry, name: string): number {
  const lines = metrics.formatMetrics().split("\n")
  return Number(lines.find((line) => line.startsWith(`${name} `))?.slice(name.length))
}
