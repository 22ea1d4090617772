import { createServer, type Server } from "node:http"
import { App } from "@tinyhttp/app"
import { parseAddress } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import {
  type ExplainRequestQuery,
  type ExplainRequestReply,
  registerExplainRoutes,
} from "./explain/index.js"
import {
  type AccountsSource,
  type QuarantineSource,
  registerAccountRoutes,
  registerQuarantineRoutes,
} from "./operators/index.js"
import type { EntrySettings } from "./settings.js"

/** Provides the state that the load balancer, the metrics collector and operators request. */
export interface ProbeSource {
  readonly accounts: AccountsSource
  readonly quarantine: QuarantineSource
  /** Explains where a request would go now. */
  explain(query: ExplainRequestQuery): ExplainRequestReply
  readonly log: Log
  isReady(): boolean
  formatMetrics(): string
}

/**
 * Starts a server on each of the two addresses, one if they are equal. `/-/ready`
 * is answered with 200 or 503, `/metrics` with text. Only the metrics address has
 * the operators' interface. Rejects when an address can't be listened on.
 */
export async function startProbeServers(
  { readyListen, metricsListen }: Pick<EntrySettings, "readyListen" | "metricsListen">,
  source: ProbeSource,
): Promise<readonly Server[]> {
  const addresses = [...new Set([readyListen, metricsListen])]
  return Promise.all(
    addresses.map((address) => startServer(address, source, address === metricsListen)),
  )
}

function startServer(
  address: string,
  source: ProbeSource,
  isForOperators: boolean,
): Promise<Server> {
  const app = new App()
  if (isForOperators) {
    registerAccountRoutes(app, source.accounts)
    registerQuarantineRoutes(app, source.quarantine, source.log)
    registerExplainRoutes(app, (query) => source.explain(query))
  }
  app.get("/-/ready", (_request, response) => {
    response.status(source.isReady() ? 200 : 503).end()
  })
  app.get("/metrics", (_request, response) => {
    response.setHeader("Content-Type", "text/plain; version=0.0.4")
    response.end(source.formatMetrics())
  })
  const server = createServer().on("request", app.attach)
  const { host, port } = parseAddress(address)
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, host, () => {
      resolve(server)
    })
  })
}
