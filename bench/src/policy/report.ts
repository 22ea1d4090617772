import { type Rank, RANKS } from "@galenaway/core"
import { computeBound, countFirstLoads } from "./bound.js"
import type { Figures } from "./figures.js"
import { STRATEGIES, type StrategyName } from "./runner.js"
import type { CaseName } from "./workload.js"

/** The figures of one run with its strategy and seed. */
export interface RunResult {
  readonly strategy: StrategyName
  readonly seed: number
  readonly figures: Figures
}

/** A row of a table: the name of a figure, its value in a run, and its bound if it has one. */
interface FigureRow {
  readonly name: string
  readonly read: (figures: Figures) => number
  readonly bound?: (name: CaseName, seed: number) => number
}

const ROWS: readonly FigureRow[] = [
  ...listRankRows("on time %", (figures, rank) => figures.onTime[rank], computeBound),
  ...listRankRows("answers against before %", (figures, rank) => figures.relativeThroughput[rank]),
  ...listRankRows("share of tokens %", (figures, rank) => figures.tokenShare[rank]),
  { name: "stalls", read: (figures) => figures.stalls, bound: countFirstLoads },
  { name: "mean stall ms", read: (figures) => figures.stallMs },
  { name: "urgent stalls", read: (figures) => figures.urgentStalls },
  { name: "mean urgent stall ms", read: (figures) => figures.urgentStallMs },
  { name: "batch fill %", read: (figures) => figures.batchFill },
  { name: "refused", read: (figures) => figures.refused },
  { name: "loads", read: (figures) => figures.loads, bound: countFirstLoads },
  { name: "wasted loads", read: (figures) => figures.wastedLoads },
  { name: "highest number in transit", read: (figures) => figures.maxInTransit },
  { name: "evictions in use", read: (figures) => figures.evictionsInUse },
]

/** Formats the results of one case as a Markdown table. Cells hold the mean over the seeds with the lowest and the highest. */
export function formatTable(name: CaseName, results: readonly RunResult[]): string {
  const seeds = [...new Set(results.map(({ seed }) => seed))]
  const lines = [
    `| figure | ${STRATEGIES.join(" | ")} | bound |`,
    `| --- |${" ---: |".repeat(STRATEGIES.length + 1)}`,
  ]
  for (const { name: figure, read, bound } of ROWS) {
    const cells = STRATEGIES.map((strategy) => {
      const strategyResults = results.filter((result) => result.strategy === strategy)
      return formatSpread(strategyResults.map(({ figures }) => read(figures)))
    })
    const boundCell = bound ? formatSpread(seeds.map((seed) => bound(name, seed))) : ""
    lines.push(`| ${figure} | ${cells.join(" | ")} | ${boundCell} |`)
  }
  return lines.join("\n")
}

function listRankRows(
  name: string,
  read: (figures: Figures, rank: Rank) => number,
  bound?: (name: CaseName, seed: number, rank: Rank) => number,
): FigureRow[] {
  return RANKS.map((rank) => ({
    name: `${rank} ${name}`,
    read: (figures) => read(figures, rank),
    ...(bound && { bound: (caseName: CaseName, seed: number) => bound(caseName, seed, rank) }),
  }))
}

function formatSpread(values: readonly number[]): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const [low, high] = [Math.min(...values), Math.max(...values)]
  return low === high
    ? formatNumber(mean)
    : `${formatNumber(mean)} (${formatNumber(low)}–${formatNumber(high)})`
}

function formatNumber(value: number): string {
  return Math.abs(value) >= 1000 || Number.isInteger(value) ? value.toFixed(0) : value.toFixed(1)
}
