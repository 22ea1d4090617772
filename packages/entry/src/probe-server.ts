import { createServer, type Server } from "node:http"
import { App } from "@tinyhttp/app"
import { parseAddress } from "./server.js"

/** Provides the state that the load balancer and the metrics collector request. */
export interface ProbeSource {
  isReady(): boolean
  formatMetrics(): string
}

/**
 * Starts a server on each distinct address. `/-/ready` is answered with 200 or
 * 503, `/metrics` with text. Rejects when an address can't be listened on.
 */
export async function startProbeServers(
  addresses: readonly string[],
  source: ProbeSource,
): Promise<readonly Server[]> {
  return Promise.all([...new Set(addresses)].map((address) => startServer(address, source)))
}

function startServer(address: string, source: ProbeSource): Promise<Server> {
  const app = new App()
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
