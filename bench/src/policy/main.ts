import { mkdir, writeFile } from "node:fs/promises"
import { join } from "node:path"
import { fileURLToPath } from "node:url"
import { Command } from "commander"
import { buildPlot } from "./plot.js"
import { formatTable, type RunResult } from "./report.js"
import { runCase, STRATEGIES } from "./runner.js"
import { type CaseName, CASES } from "./workload.js"

/** Runs every case with every strategy and seed, prints the tables and writes them and the plots to the results. */
const RESULTS = fileURLToPath(new URL("../../../results/", import.meta.url))

const program = new Command("policy")
  .option("--seeds <n>", "number of seeds", Number, 3)
  .option("--case <name>", "only this case, without writing the results")
program.parse()
const options = program.opts<{ seeds: number; case?: string }>()
const isWhole = options.case === undefined
if (isWhole) await mkdir(RESULTS, { recursive: true })
const sections: string[] = []
for (const name of CASES) {
  if (!isWhole && options.case !== name) continue
  const results = runAll(name, options.seeds)
  const section = `## ${name}\n\n${formatTable(name, results)}\n`
  console.log(section)
  sections.push(isWhole ? `${section}\n![${name}](${name}.svg)\n` : section)
  if (isWhole) await writeFile(join(RESULTS, `${name}.svg`), await buildPlot(name, results))
}
if (isWhole) await writeFile(join(RESULTS, "policy.md"), formatReport(sections, options.seeds))

function runAll(name: CaseName, seeds: number): RunResult[] {
  const results: RunResult[] = []
  for (const strategy of STRATEGIES)
    for (let seed = 1; seed <= seeds; seed++)
      results.push({ strategy, seed, figures: runCase(name, strategy, seed) })
  return results
}

function formatReport(list: readonly string[], seeds: number): string {
  const head = `# Policy: the naive router and the scheduler\n\nWritten by \`node bench/dist/src/policy/main.js --seeds ${seeds}\`. Each cell is the mean over the seeds, with the lowest and the highest.\n`
  return [head, ...list].join("\n")
}
