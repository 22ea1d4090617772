import type { Server } from "node:http"
import type { DependencyContainer } from "tsyringe"
import {
  type Clock,
  type ServingConfiguration,
  type StoreItem,
  systemClock,
  waitFor,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { EndpointHealth, Residency } from "@galenaway/routing"
import { AccountUsage, AccountWeights, Authorizer } from "./accounts/index.js"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  DirectoryPoller,
  OperatorCatalogue,
} from "./catalogue/index.js"
import { createEntryContainer } from "./container.js"
import { explainRequest } from "./explain/index.js"
import { Membership, Ownership, parseParts } from "./fleet/index.js"
import { EndpointPools, ForwardHandler } from "./forward/index.js"
import { fetchCatalogue, PeerLinks, LinkServer } from "./links/index.js"
import type { AccountsSource } from "./operators/index.js"
import { Owner } from "./owner/index.js"
import { createUseLookup, QuotaAllocators, QuotaGate } from "./quota/index.js"
import { PartGuard } from "./quarantine/index.js"
import { startProbeServers } from "./probe-server.js"
import { reloadSettings } from "./reload.js"
import { CallerServer } from "./server.js"
import type { EntrySettings } from "./settings.js"
import { StopSchedule } from "./stop-schedule.js"
import { ENTRY_TOKENS, type EntryPorts } from "./tokens.js"

/** A running entry instance. */
export interface EntryInstance {
  /** Stops gracefully: requests in progress are answered first, up to the stop limit. */
  stop(): Promise<void>
  /** Reads the settings again and logs which have changed; they take effect after a restart. Errors are logged; never throws. */
  reload(readSettings: () => EntrySettings): void
}

const DRAIN_POLL_MS = 25
/** Time to write the final answers of requests that still ran at the limit of the stop. */
const FINAL_ANSWERS_MS = 200
/** Time before the kill at which the instance exits, even if the store hasn't answered. */
const EXIT_MARGIN_MS = 150
const PEER_FETCH_INTERVAL_MS = 500

/**
 * Starts an entry instance. Resolves when all its interfaces listen. The
 * instance is ready once it has a configuration and a list of endpoints.
 */
export async function startEntryInstance(
  settings: EntrySettings,
  ports: EntryPorts,
): Promise<EntryInstance> {
  const container = createEntryContainer(settings, ports)
  const log = container.resolve(ENTRY_TOKENS.log)
  log.info({ store: settings.store, listen: settings.listen }, "starting")
  registerListeners(container)
  const probes = await startProbeServers(settings, {
    accounts: createAccountsSource(container),
    quarantine: container.resolve(PartGuard),
    explain: (query) => explainRequest(container.resolve(ENTRY_TOKENS.forward), query),
    log,
    isReady: () => isReady(container) && !container.resolve(ENTRY_TOKENS.monitor)?.isUnready,
    formatMetrics: () =>
      container.resolve(ENTRY_TOKENS.metrics).formatMetrics() +
      container.resolve(AccountUsage).formatMetrics(),
  })
  await container.resolve(CallerServer).start(settings.listen)
  await container.resolve(LinkServer).start(settings.peerListen)
  startBackgroundTasks(container)
  void fetchCatalogueFromPeers(container, settings)
  log.info("started")
  return {
    stop: () => stopInstance(container, probes),
    reload: (readSettings) => {
      reloadSettings(log, settings, readSettings)
    },
  }
}

function applyAccounts(container: DependencyContainer, configuration: ServingConfiguration): void {
  const { accounts = [] } = configuration
  container.resolve(Authorizer).applyConfiguration(configuration)
  container.resolve(AccountUsage).removeUnlisted(accounts)
  container.resolve(AccountWeights).setAccounts(accounts)
}

function createAccountsSource(container: DependencyContainer): AccountsSource {
  const authorizer = container.resolve(Authorizer)
  const usage = container.resolve(AccountUsage)
  return {
    get hasAccounts() {
      return authorizer.hasAccounts
    },
    listAccounts: () => authorizer.listAccounts(),
    getCounts: (name) => usage.getCounts(name),
    getKeyRefusals: () => usage.getKeyRefusals(),
    createUseLookup: () =>
      createUseLookup({
        gate: container.resolve(QuotaGate),
        allocators: container.resolve(QuotaAllocators),
      }),
  }
}

function registerListeners(container: DependencyContainer): void {
  const directory = container.resolve(EndpointDirectory)
  const health = container.resolve(EndpointHealth)
  const residency = container.resolve(Residency)
  const clock = container.resolve(ENTRY_TOKENS.clock)
  container.resolve(OperatorCatalogue).on("configuration", (configuration) => {
    applyAccounts(container, configuration)
    container.resolve(CallerServer).setLimits(configuration.limits)
  })
  scheduleFirstClaims(container)
  directory.on("started", ({ id }) => {
    health.reset(id)
    residency.reset(id)
  })
  directory.on("read", () => {
    updateTables(directory, health, residency, container.resolve(EndpointPools), clock)
    container.resolve(Owner).startMissing()
  })
}

/** Lets a restarted process claim its engines again as soon as it is ready. */
function scheduleFirstClaims(container: DependencyContainer): void {
  const claimIfReady = () => {
    if (isReady(container)) container.resolve(Ownership).readNow()
  }
  container.resolve(OperatorCatalogue).once("configuration", claimIfReady)
  container.resolve(EndpointDirectory).once("read", claimIfReady)
}

function updateTables(
  directory: EndpointDirectory,
  health: EndpointHealth,
  residency: Residency,
  pools: EndpointPools,
  clock: Clock,
): void {
  const endpoints = directory.listAll()
  const ids = new Set(endpoints.map(({ id }) => id))
  health.removeUnlisted(ids)
  residency.removeUnlisted(ids)
  pools.closeUnused(new Set(endpoints.map(({ address }) => address)))
  for (const { id, holdings } of endpoints)
    if (holdings)
      residency.update(id, "registration", holdings.models, holdings.adapters, clock.now())
}

function isReady(container: DependencyContainer): boolean {
  if (container.resolve(StopSchedule).isStopping) return false
  return (
    container.resolve(OperatorCatalogue).version > 0 &&
    container.resolve(EndpointDirectory).listAll().length > 0
  )
}

function startBackgroundTasks(container: DependencyContainer): void {
  container.resolve(ConfigurationWatcher).start()
  container.resolve(DirectoryPoller).start()
  container.resolve(Membership).start()
  container.resolve(Ownership).start()
  container.resolve(PeerLinks).start()
  container.resolve(ENTRY_TOKENS.monitor)?.start()
}

/** Fetches the catalogue from the seeds until the instance is ready, for a start while the store can't be reached. */
async function fetchCatalogueFromPeers(
  container: DependencyContainer,
  settings: EntrySettings,
): Promise<void> {
  const log = container.resolve(ENTRY_TOKENS.log)
  const seeds = settings.seeds.filter((seed) => seed !== settings.peerListen)
  await waitFor(PEER_FETCH_INTERVAL_MS)
  while (!isReady(container) && !container.resolve(StopSchedule).isStopping) {
    for (const seed of seeds) {
      try {
        applyPeerItems(container, await fetchCatalogue(seed), seed)
        log.info({ peer: seed }, "catalogue fetched from a peer")
        break
      } catch (error) {
        log.debug({ peer: seed, err: error }, "fetching the catalogue from a peer failed")
      }
    }
    await waitFor(PEER_FETCH_INTERVAL_MS)
  }
}

function applyPeerItems(
  container: DependencyContainer,
  items: readonly StoreItem[],
  peer: string,
): void {
  const { format } = container.resolve(ENTRY_TOKENS.ports)
  const isRegistration = ({ key }: StoreItem) => key.startsWith(format.registrationPrefix)
  for (const item of items)
    if (item.key.startsWith(format.operatorPrefix))
      container.resolve(OperatorCatalogue).apply(item, `peer ${peer}`)
  container.resolve(EndpointDirectory).applyFromPeer(items.filter(isRegistration))
  container.resolve(PartGuard).onStored(parseParts(items))
}

async function stopInstance(
  container: DependencyContainer,
  probes: readonly Server[],
): Promise<void> {
  const log = container.resolve(ENTRY_TOKENS.log)
  const schedule = container.resolve(StopSchedule)
  log.info("stopping")
  schedule.begin()
  const handover = handOverEngines(container, log)
  await waitFor(schedule.getMsUntilRefusal())
  const callers = container.resolve(CallerServer)
  await callers.close()
  const handler = container.resolve(ForwardHandler)
  const isServing = () => handler.runningCount > 0 || callers.connectionCount > 0
  while (isServing() && schedule.getMsUntilEnd() > 0) await waitFor(DRAIN_POLL_MS)
  await endRequests(container, log)
  const stopped = Promise.all([stopBackgroundTasks(container), handover])
  await Promise.race([stopped, waitFor(schedule.getMsUntilKill() - EXIT_MARGIN_MS)])
  for (const probe of probes) probe.close()
  log.info("stopped")
}

/** Sends the final answers of requests that still run, and waits until they are written. */
async function endRequests(container: DependencyContainer, log: Log): Promise<void> {
  const handler = container.resolve(ForwardHandler)
  log.info({ running: handler.runningCount }, "stopped serving")
  handler.endAll()
  const writtenBy = systemClock.now() + FINAL_ANSWERS_MS
  while (handler.runningCount > 0 && systemClock.now() < writtenBy) await waitFor(DRAIN_POLL_MS)
  container.resolve(CallerServer).closeConnections()
}

/** Hands the owned engines over. Other instances take over the remaining engines when the lease expires. */
async function handOverEngines(container: DependencyContainer, log: Log): Promise<void> {
  const steps = [
    () => container.resolve(Membership).announceStop(),
    () => container.resolve(Ownership).handOver(),
  ]
  for (const step of steps) {
    try {
      await step()
    } catch (error) {
      log.warn({ err: error }, "engines not handed over")
    }
  }
  container.resolve(Owner).stop()
}

async function stopBackgroundTasks(container: DependencyContainer): Promise<void> {
  container.resolve(ConfigurationWatcher).stop()
  container.resolve(DirectoryPoller).stop()
  container.resolve(Ownership).stop()
  container.resolve(PeerLinks).stop()
  container.resolve(QuotaGate).stop()
  container.resolve(ENTRY_TOKENS.monitor)?.stop()
  container.resolve(LinkServer).stop()
  await container.resolve(Membership).stop()
  await container.resolve(EndpointPools).stop()
}
