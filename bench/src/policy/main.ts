import { Command } from "commander"
import { runCase, STRATEGIES } from "./runner.js"
import { CASES } from "./workload.js"

const program = new Command()
  .option("--seeds <n>", "number of seeds", "3")
  .option("--case <name>")
  .option("--strategy <name>")
program.parse()
const {
  seeds,
  case: only,
  strategy: one,
} = program.opts<{ seeds: string; case?: string; strategy?: string }>()
for (const name of CASES) {
  if (only !== undefined && only !== name) continue
  for (const strategy of STRATEGIES.filter((s) => one === undefined || s === one))
    for (let seed = 1; seed <= Number(seeds); seed++) {
      const start = performance.now()
      const f = runCase(name, strategy, seed)
      const n = (x: number) => x.toFixed(1)
      console.log(
        name,
        strategy,
        seed,
        "onTime",
        n(f.onTime.urgent),
        n(f.onTime.standard),
        n(f.onTime.bulk),
        "kept",
        n(f.kept.urgent),
        n(f.kept.standard),
        n(f.kept.bulk),
        "tok",
        n(f.tokenShare.urgent),
        n(f.tokenShare.standard),
        n(f.tokenShare.bulk),
        "stalls",
        f.stalls,
        n(f.stallMs),
        "urg",
        f.urgentStalls,
        n(f.urgentStallMs),
        "fill",
        n(f.batchFill),
        "ref",
        f.refused,
        "loads",
        f.loads,
        f.wastedLoads,
        "inuse",
        f.evictionsInUse,
        "transit",
        f.highestTransit,
        (performance.now() - start).toFixed(0) + "ms",
      )
    }
}
