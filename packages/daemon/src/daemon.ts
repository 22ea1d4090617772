import type { DependencyContainer } from "tsyringe"
import type { Log } from "@galenaway/observe"
import { CompletionHandler } from "./caller/completions.js"
import { type CallerServer, startCallerServer } from "./caller/server.js"
import { ServiceHandler } from "./caller/services.js"
import { ConfigurationWatch } from "./configuration/watch.js"
import { createContainer, type EngineMap, type RowMap, TOKENS } from "./container.js"
import { Coordination } from "./coordination.js"
import { startOperatorInterface } from "./operator/registration.js"
import type { OperatorServer } from "./operator/server.js"
import { refreshReports } from "./router/reports.js"
import type { Settings } from "./settings.js"

const REPORT_INTERVAL_MS = 200
const FIRST_OWNERSHIP_LIMIT_MS = 5000
/** How long a starting daemon waits for a configuration before it serves under the built-in defaults. */
const CONFIGURATION_WAIT_MS = 5000

/** A running daemon. */
export interface Daemon {
  /** Stops gracefully: running requests get their whole answers first. */
  stop(): Promise<void>
}

/** A part of the daemon that decides where requests run, and has to be started and stopped. */
interface Routing {
  /** Hands over what others can take, while requests still run. */
  leave(): Promise<void>
  stop(): Promise<void>
}

/** Starts a daemon; resolves when it serves callers. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const parts = createContainer(settings)
  const log = parts.resolve<Log>(TOKENS.log)
  const watch = parts.resolve(ConfigurationWatch)
  const routing = await startRouting(settings, parts)
  watch.start()
  await watch.waitForFirst(CONFIGURATION_WAIT_MS)
  const callers = await startCallerServer(
    settings.listen,
    parts.resolve(CompletionHandler),
    parts.resolve(ServiceHandler),
  )
  const operators = await startOperatorInterface(parts, settings)
  log.info({ listen: `${settings.listen.host}:${settings.listen.port}` }, "started")
  return { stop: () => stopDaemon({ callers, operators, watch, routing, settings, log }) }
}

async function startRouting(settings: Settings, parts: DependencyContainer): Promise<Routing> {
  switch (settings.router) {
    case "coordinated":
      return startCoordinated(parts)
    case "naive":
      return startNaive(parts)
  }
}

async function startCoordinated(parts: DependencyContainer): Promise<Routing> {
  const coordination = parts.resolve(Coordination)
  const watch = parts.resolve(ConfigurationWatch)
  coordination.onRevision((peer, revision) => void watch.noticeRevision(peer, revision))
  await coordination.start()
  await coordination.waitForOwners(FIRST_OWNERSHIP_LIMIT_MS)
  return coordination
}

async function startNaive(parts: DependencyContainer): Promise<Routing> {
  const rows = parts.resolve<RowMap>(TOKENS.rows)
  const engines = parts.resolve<EngineMap>(TOKENS.engines)
  await refreshReports(rows, engines)
  const timer = setInterval(() => void refreshReports(rows, engines), REPORT_INTERVAL_MS)
  return {
    leave: () => Promise.resolve(),
    stop: () => {
      clearInterval(timer)
      return Promise.resolve()
    },
  }
}

interface RunningParts {
  readonly callers: CallerServer
  readonly operators: OperatorServer
  readonly watch: ConfigurationWatch
  readonly routing: Routing
  readonly settings: Settings
  readonly log: Log
}

async function stopDaemon(parts: RunningParts): Promise<void> {
  const { callers, operators, watch, routing, settings, log } = parts
  log.info("draining")
  const drained = callers.drain(settings.drainSeconds * 1000)
  await routing.leave()
  await drained
  await routing.stop()
  await Promise.all([watch.stop(), operators.close()])
  log.info("stopped")
}
