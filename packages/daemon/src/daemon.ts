import type { DependencyContainer } from "tsyringe"
import { IngressGuard } from "@galenaway/ingress"
import type { Log } from "@galenaway/observe"
import { CompletionHandler } from "./caller/completions.js"
import { type CallerServer, startCallerServer } from "./caller/server.js"
import { ServiceHandler } from "./caller/services.js"
import { ConfigurationWatcher } from "./configuration/watch.js"
import { createContainer, type EngineMap, type RowMap, TOKENS } from "./container.js"
import { Coordination } from "./coordination.js"
import { startOperatorInterface } from "./operator/registration.js"
import type { OperatorServer } from "./operator/server.js"
import { refreshReports } from "./router/reports.js"
import type { Settings } from "./settings.js"

const REPORT_INTERVAL_MS = 200
/** Time after which a starting daemon serves although engines of its data centre are unreachable. */
const OWNERS_TIMEOUT_MS = 5000
/** Time after which a starting daemon serves under the built-in defaults when it has found no configuration. */
const CONFIGURATION_TIMEOUT_MS = 5000

/** A running daemon. */
export interface Daemon {
  /** Stops gracefully: waits for running requests, for at most `drainSeconds`. */
  stop(): Promise<void>
}

/** Lifecycle of a running router. */
interface RunningRouter {
  /** Transfers ownerships to other instances, while requests are still running. */
  leave(): Promise<void>
  stop(): Promise<void>
}

/** Starts a daemon. Resolves when it serves callers and operators; rejects when an address can't be used. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const container = createContainer(settings)
  const log = container.resolve<Log>(TOKENS.log)
  const watch = container.resolve(ConfigurationWatcher)
  const router = await startRouter(settings, container)
  watch.start()
  await watch.waitForFirst(CONFIGURATION_TIMEOUT_MS)
  const callers = await startCallerServer(
    settings.listen,
    container.resolve(CompletionHandler),
    container.resolve(ServiceHandler),
    container.resolve(IngressGuard),
  )
  const operators = await startOperatorInterface(container, settings)
  log.info({ listen: `${settings.listen.host}:${settings.listen.port}` }, "started")
  return { stop: () => stopDaemon({ callers, operators, watch, router, settings, log }) }
}

async function startRouter(
  settings: Settings,
  container: DependencyContainer,
): Promise<RunningRouter> {
  switch (settings.router) {
    case "coordinated":
      return startCoordinatedRouter(container)
    case "naive":
      return startNaiveRouter(container)
  }
}

async function startCoordinatedRouter(container: DependencyContainer): Promise<RunningRouter> {
  const coordination = container.resolve(Coordination)
  const watch = container.resolve(ConfigurationWatcher)
  coordination.onRevision((peer, revision) => void watch.handleRevision(peer, revision))
  await coordination.start()
  await coordination.waitForOwners(OWNERS_TIMEOUT_MS)
  return coordination
}

async function startNaiveRouter(container: DependencyContainer): Promise<RunningRouter> {
  const rows = container.resolve<RowMap>(TOKENS.rows)
  const engines = container.resolve<EngineMap>(TOKENS.engines)
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

interface RunningDaemon {
  readonly callers: CallerServer
  readonly operators: OperatorServer
  readonly watch: ConfigurationWatcher
  readonly router: RunningRouter
  readonly settings: Settings
  readonly log: Log
}

async function stopDaemon(daemon: RunningDaemon): Promise<void> {
  const { callers, operators, watch, router, settings, log } = daemon
  log.info("draining")
  const drained = callers.drain(settings.drainSeconds * 1000)
  await router.leave()
  await drained
  await router.stop()
  await Promise.all([watch.stop(), operators.close()])
  log.info("stopped")
}
