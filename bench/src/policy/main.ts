import { mkdir, writeFile } from "node:fs/promises"
import { join } from "node:path"
import { fileURLToPath } from "node:url"
import { Command } from "commander"
import { buildPlot } from "./plot.js"
import { formatTable, type RunResult } from "./report.js"
import { runCase, STRATEGIES } from "./runner.js"
import { type CaseName, CASES } from "./workload.js"

/**
 * Runs every case with every strategy and seed, and prints a table of each
 * case. A run of all cases also writes the tables and plots to the results folder.
 */
const RESULTS_FOLDER = fileURLToPath(new URL("../../../results/", import.meta.url))

const program = new Command("policy")
  .option("--seeds <n>", "number of seeds", Number, 3)
  .option("--case <name>", "only this case, without writing the results")
program.parse()
const options = program.opts<{ seeds: number; case?: string }>()
const hasAllCases = options.case === undefined
if (hasAllCases) await mkdir(RESULTS_FOLDER, { recursive: true })
const sections: string[] = []
for (const name of CASES) {
  if (!hasAllCases && options.case !== name) continue
  const results = runAll(name, options.seeds)
  const section = `## ${name}\n\n${formatTable(name, results)}\n`
  console.log(section)
  sections.push(hasAllCases ? `${section}\n![${name}](${name}.svg)\n` : section)
  if (hasAllCases)
    await writeFile(join(RESULTS_FOLDER, `${name}.svg`), await buildPlot(name, results))
}
if (hasAllCases)
  await writeFile(join(RESULTS_FOLDER, "policy.md"), formatReport(sections, options.seeds))

function runAll(name: CaseName, seeds: number): RunResult[] {
  const results: RunResult[] = []
  for (const strategy of STRATEGIES)
    for (let seed = 1; seed <= seeds; seed++)
      results.push({ strategy, seed, figures: runCase(name, strategy, seed) })
  return results
}

function formatReport(texts: readonly string[], seeds: number): string {
  const head = `# Policy: the naive router and the scheduler\n\nWritten by \`node bench/dist/src/policy/main.js --seeds ${seeds}\`. Each cell is the mean over the seeds, with the lowest and the highest.\n`
  return [head, ...texts].join("\n")
}
