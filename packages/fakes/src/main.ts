import { Command } from "commander"
import {
  type RunningServer,
  startBalancer,
  startBooking,
  startEngine,
  startPlatform,
  startWeightStore,
} from "./index.js"

interface CommandOptions {
  readonly port: string
  readonly id: string
  readonly store?: string
  readonly slots: string
  readonly fencing: "checked" | "ignored"
  readonly targets: string
}

const command = new Command("galenaway-fake")
  .description("Runs a stand-in for an external system on a loopback port")
  .argument("<kind>", "platform, store, engine, booking or balancer")
  .option("--port <port>", "port to listen on", "0")
  .option("--id <id>", "id of the endpoint", "endpoint")
  .option("--store <url>", "URL of the weight store")
  .option("--slots <count>", "number of adapter slots of an engine", "8")
  .option(
    "--fencing <mode>",
    "whether an engine checks fencing tokens: checked or ignored",
    "checked",
  )
  .option("--targets <list>", "targets of the balancer, host:port, separated by commas", "")
  .action(runStandIn)

await command.parseAsync()

async function runStandIn(kind: string, options: CommandOptions): Promise<void> {
  const server = await startStandIn(kind, options)
  process.stdout.write(`ready url=${server.url}\n`)
  const close = () => {
    void server.close().then(() => process.exit(0))
  }
  process.on("SIGTERM", close)
  process.on("SIGINT", close)
}

function startStandIn(kind: string, options: CommandOptions): Promise<RunningServer> {
  const port = Number(options.port)
  const { id } = options
  switch (kind) {
    case "platform":
      return startPlatform({ port })
    case "store":
      return startWeightStore({ port })
    case "engine": {
      const slots = Number(options.slots)
      const store = options.store === undefined ? {} : { storeUrl: options.store }
      return startEngine({ id, port, slots, fencing: options.fencing, ...store })
    }
    case "booking":
      return startBooking({ id, port })
    case "balancer":
      return startBalancer(port, options.targets.split(",").map(parseTarget))
    default:
      throw new Error(`unknown kind of stand-in "${kind}"`)
  }
}

function parseTarget(text: string): { host: string; port: number } {
  const [host = "", port = ""] = text.split(":")
  return { host, port: Number(port) }
}
