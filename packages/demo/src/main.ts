import { Command } from "commander"
import { launchFleet, OPERATOR_KEY } from "./fleet.js"
import { formatSample, sendSample } from "./sample.js"

const DEFAULT_PORT = "8080"

interface DemoOptions {
  readonly port: string
  readonly once: boolean
  readonly verbose: boolean
  readonly router: "naive" | "coordinated"
}

const command = new Command("npm start --")
  .description("Starts a fleet of stand-ins and daemons on loopback and serves on 127.0.0.1:8080")
  .option("--once", "send a few sample requests, print the results and stop", false)
  .option("--port <port>", "the port of the balancer; 0 selects a free port", DEFAULT_PORT)
  .option("--verbose", "print the logs of all processes", false)
  .option("--router <name>", "routing: naive or coordinated", "coordinated")
  .parse()
const { once, verbose, router, port } = command.opts<DemoOptions>()

const onLog = (name: string, text: string) => process.stderr.write(`${name}: ${text}`)
const fleet = await launchFleet({ port: Number(port), router, ...(verbose ? { onLog } : {}) })
const operatorUrls = fleet.instances.map(({ operatorUrl }) => operatorUrl).join(",")
process.stdout.write(
  `operators: export GALENAWAY_OPERATOR_URLS=${operatorUrls} GALENAWAY_OPERATOR_KEY=${OPERATOR_KEY}\n`,
)
process.stdout.write(`ready url=${fleet.url}\n`)
if (once) {
  const rows = await sendSample(fleet.url)
  process.stdout.write(`${formatSample(rows)}\n`)
  await fleet.stop()
  process.exit(rows.every((row) => row.isCorrect) ? 0 : 1)
}
for (const signal of ["SIGINT", "SIGTERM"] as const)
  process.once(signal, () => void fleet.stop().then(() => process.exit(0)))
