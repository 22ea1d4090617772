import type { Log } from "@galenaway/observe"
import { CompletionHandler } from "./caller/completions.js"
import { type CallerServer, startCallerServer } from "./caller/server.js"
import { ServiceHandler } from "./caller/services.js"
import { ConfigurationWatch } from "./configuration/watch.js"
import { createContainer, type EngineMap, type RowMap, TOKENS } from "./container.js"
import { startOperator } from "./operator/parts.js"
import type { OperatorServer } from "./operator/server.js"
import { refreshReports } from "./router/reports.js"
import type { Settings } from "./settings.js"

const REPORT_INTERVAL_MS = 200
/** How long a starting daemon waits for a configuration before it serves under the built-in defaults. */
const CONFIGURATION_WAIT_MS = 5000

/** A running daemon. */
export interface Daemon {
  /** Stops gracefully: running requests get their whole answers first. */
  stop(): Promise<void>
}

/** Starts a daemon; resolves when it serves callers. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const parts = createContainer(settings)
  const log = parts.resolve<Log>(TOKENS.log)
  const rows = parts.resolve<RowMap>(TOKENS.rows)
  const engines = parts.resolve<EngineMap>(TOKENS.engines)
  const watch = parts.resolve(ConfigurationWatch)
  watch.start()
  await Promise.all([refreshReports(rows, engines), watch.waitForFirst(CONFIGURATION_WAIT_MS)])
  const timer = setInterval(() => void refreshReports(rows, engines), REPORT_INTERVAL_MS)
  const callers = await startCallerServer(
    settings.listen,
    parts.resolve(CompletionHandler),
    parts.resolve(ServiceHandler),
  )
  const operators = await startOperator(parts, settings)
  log.info({ listen: `${settings.listen.host}:${settings.listen.port}` }, "started")
  return { stop: () => stopDaemon(callers, operators, watch, timer, settings, log) }
}

async function stopDaemon(
  callers: CallerServer,
  operators: OperatorServer,
  watch: ConfigurationWatch,
  timer: NodeJS.Timeout,
  settings: Settings,
  log: Log,
): Promise<void> {
  log.info("draining")
  await callers.drain(settings.drainSeconds * 1000)
  clearInterval(timer)
  await Promise.all([watch.stop(), operators.close()])
  log.info("stopped")
}
