import { Command } from "commander"
import {
  type RunningServer,
  startBalancer,
  startBooking,
  startEngine,
  startPlatform,
  startWeightStore,
} from "./index.js"

interface MainOptions {
  readonly port: string
  readonly id: string
  readonly store?: string
  readonly slots: string
  readonly fencing: "checked" | "ignored"
  readonly targets: string
}

const command = new Command("galenaway-fake")
  .description("Runs one stand-in for an outside system on a loopback port")
  .argument("<kind>", "platform, store, engine, booking or balancer")
  .option("--port <port>", "port to listen on", "0")
  .option("--id <id>", "the endpoint's name", "endpoint")
  .option("--store <url>", "the weight store's URL")
  .option("--slots <count>", "adapters that an engine holds", "8")
  .option("--fencing <mode>", "checked or ignored", "checked")
  .option("--targets <list>", "host:port list for the balancer", "")
  .action(runStandIn)

await command.parseAsync()

async function runStandIn(kind: string, options: MainOptions): Promise<void> {
  const server = await startStandIn(kind, options)
  process.stdout.write(`ready url=${server.url}\n`)
  const stop = () => {
    void server.close().then(() => process.exit(0))
  }
  process.on("SIGTERM", stop)
  process.on("SIGINT", stop)
}

function startStandIn(kind: string, options: MainOptions): Promise<RunningServer> {
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
      throw new Error(`unknown stand-in ${kind}`)
  }
}

function parseTarget(text: string): { host: string; port: number } {
  const [host = "", port = ""] = text.split(":")
  return { host, port: Number(port) }
}
