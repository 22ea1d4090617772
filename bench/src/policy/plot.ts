import { parse, View } from "vega"
import { compile, type TopLevelSpec } from "vega-lite"
import { RANKS } from "@galenaway/core"
import type { RunResult } from "./report.js"
import { STRATEGIES } from "./runner.js"

/**
 * Builds an SVG chart of the share of requests on time by rank and strategy,
 * with the mean as a bar and one point for each seed.
 */
export async function buildPlot(title: string, results: readonly RunResult[]): Promise<string> {
  const values = results.flatMap(({ strategy, seed, figures }) =>
    RANKS.map((rank) => ({ strategy, seed, rank, onTime: figures.onTime[rank] })),
  )
  const spec: TopLevelSpec = {
    title,
    data: { values },
    facet: { column: { field: "rank", sort: [...RANKS], title: null } },
    spec: {
      width: 160,
      height: 180,
      encoding: { x: { field: "strategy", sort: [...STRATEGIES], title: null } },
      layer: [
        {
          mark: { type: "bar", color: "#9ecae1" },
          encoding: {
            y: {
              field: "onTime",
              aggregate: "mean",
              title: "on time, %",
              scale: { domain: [0, 100] },
            },
          },
        },
        {
          mark: { type: "point", color: "#08306b", filled: true },
          encoding: { y: { field: "onTime", type: "quantitative" } },
        },
      ],
    },
  }
  const view = new View(parse(compile(spec).spec), { renderer: "none" })
  const svg = await view.toSVG()
  view.finalize()
  return svg
}
