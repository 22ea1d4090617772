import type { Server } from "node:http"
import type { DependencyContainer } from "tsyringe"
import { type Clock, type StoreItem, systemClock, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { EndpointHealth, Residency } from "@galenaway/routing"
import { ConfigurationWatch, Directory, DirectoryPoll, Serving } from "./catalogue/index.js"
import { createEntryContainer } from "./container.js"
import { Membership, Ownership } from "./fleet/index.js"
import { EndpointPools, ForwardHandler } from "./forward/index.js"
import { fetchCatalogue, Links, LinkServer } from "./links/index.js"
import { Owner } from "./owner/index.js"
import { startProbeServers } from "./probe-server.js"
import { CallerServer } from "./server.js"
import type { EntrySettings } from "./settings.js"
import { ENTRY_TOKENS, type EntryPorts } from "./tokens.js"

/** A running entry instance. */
export interface EntryInstance {
  /** Stops gracefully: running requests get their answers first. */
  stop(): Promise<void>
  /** Takes settings that were read again. */
  reload(settings: EntrySettings): void
}

/** How long a balancer may go on sending new connections after the instance stops being ready. */
const BALANCER_LAG_MS = 2700
const POLL_MS = 25
/** What is left of the time to stop after the last answer. */
const STOP_MARGIN_MS = 600
const MS_PER_S = 1000
const PEER_RETRY_MS = 500

/** Starts an entry instance; resolves when all its interfaces listen. It is ready once it knows a configuration and the endpoints. */
export async function startEntryInstance(
  settings: EntrySettings,
  ports: EntryPorts,
): Promise<EntryInstance> {
  const parts = createEntryContainer(settings, ports)
  const log = parts.resolve(ENTRY_TOKENS.log)
  log.info({ store: settings.store, listen: settings.listen }, "starting")
  connectTables(parts)
  const probes = await startProbeServers([settings.readyListen, settings.metricsListen], {
    isReady: () => isReady(parts),
    formatMetrics: () => parts.resolve(ENTRY_TOKENS.metrics).formatMetrics(),
  })
  await parts.resolve(CallerServer).start(settings.listen)
  await parts.resolve(LinkServer).start(settings.peerListen)
  startLoops(parts)
  void learnFromPeers(parts, settings)
  log.info("started")
  return {
    stop: () => stopInstance(parts, settings, probes),
    reload: (next) => {
      reloadSettings(log, settings, next)
    },
  }
}

/** Addresses and names hold for the life of a process; the log says what waits for a restart. */
function reloadSettings(log: Log, current: EntrySettings, next: EntrySettings): void {
  const changed = Object.keys(next).filter((name) => {
    const key = name as keyof EntrySettings
    return String(next[key]) !== String(current[key])
  })
  log.info({ changed: changed.join(",") }, "settings read again")
}

function connectTables(parts: DependencyContainer): void {
  const directory = parts.resolve(Directory)
  const health = parts.resolve(EndpointHealth)
  const residency = parts.resolve(Residency)
  const clock = parts.resolve(ENTRY_TOKENS.clock)
  parts.resolve(Serving).on("configuration", ({ limits }) => {
    parts.resolve(CallerServer).setLimits(limits)
  })
  hastenFirstClaims(parts)
  directory.on("started", ({ id }) => {
    health.reset(id)
    residency.reset(id)
  })
  directory.on("read", () => {
    updateTables(directory, health, residency, parts.resolve(EndpointPools), clock)
    parts.resolve(Owner).refresh()
  })
}

/** A process that was started anew gets its engines back as soon as it knows them. */
function hastenFirstClaims(parts: DependencyContainer): void {
  const hasten = () => {
    if (isReady(parts)) parts.resolve(Ownership).hasten()
  }
  parts.resolve(Serving).once("configuration", hasten)
  parts.resolve(Directory).once("read", hasten)
}

function updateTables(
  directory: Directory,
  health: EndpointHealth,
  residency: Residency,
  pools: EndpointPools,
  clock: Clock,
): void {
  const endpoints = directory.listAll()
  const ids = new Set(endpoints.map(({ id }) => id))
  health.removeUnlisted(ids)
  residency.removeUnlisted(ids)
  pools.keepOnly(new Set(endpoints.map(({ address }) => address)))
  for (const { id, holdings } of endpoints)
    if (holdings)
      residency.update(id, "registration", holdings.models, holdings.adapters, clock.now())
}

function isReady(parts: DependencyContainer): boolean {
  if (parts.resolve(ENTRY_TOKENS.state).isStopping) return false
  return parts.resolve(Serving).version > 0 && parts.resolve(Directory).listAll().length > 0
}

function startLoops(parts: DependencyContainer): void {
  parts.resolve(ConfigurationWatch).start()
  parts.resolve(DirectoryPoll).start()
  parts.resolve(Membership).start()
  parts.resolve(Ownership).start()
  parts.resolve(Links).start()
}

/** Asks the seeds for what they know, as long as the store has told nothing. */
async function learnFromPeers(parts: DependencyContainer, settings: EntrySettings): Promise<void> {
  const log = parts.resolve(ENTRY_TOKENS.log)
  const seeds = settings.seeds.filter((seed) => seed !== settings.peerListen)
  await waitFor(PEER_RETRY_MS)
  while (!isReady(parts) && !parts.resolve(ENTRY_TOKENS.state).isStopping) {
    for (const seed of seeds) {
      try {
        applyPeerItems(parts, await fetchCatalogue(seed), seed)
        log.info({ peer: seed }, "catalogue learned from a peer")
        break
      } catch (error) {
        log.debug({ peer: seed, err: error }, "peer tells no catalogue")
      }
    }
    await waitFor(PEER_RETRY_MS)
  }
}

function applyPeerItems(
  parts: DependencyContainer,
  items: readonly StoreItem[],
  peer: string,
): void {
  const { format } = parts.resolve(ENTRY_TOKENS.ports)
  const isRegistration = ({ key }: StoreItem) => key.startsWith(format.registrationPrefix)
  for (const item of items)
    if (!isRegistration(item)) parts.resolve(Serving).apply(item, `peer ${peer}`)
  parts.resolve(Directory).applyFromPeer(items.filter(isRegistration))
}

async function stopInstance(
  parts: DependencyContainer,
  settings: EntrySettings,
  probes: readonly Server[],
): Promise<void> {
  const log = parts.resolve(ENTRY_TOKENS.log)
  const start = systemClock.now()
  const end = start + settings.stopLimitS * MS_PER_S - STOP_MARGIN_MS
  log.info("stopping")
  parts.resolve(ENTRY_TOKENS.state).isStopping = true
  const left = leaveFleet(parts, log)
  await waitFor(Math.max(0, start + BALANCER_LAG_MS - systemClock.now()))
  parts.resolve(CallerServer).close()
  const handler = parts.resolve(ForwardHandler)
  while (handler.running > 0 && systemClock.now() < end) await waitFor(POLL_MS)
  log.info({ running: handler.running }, "stopped serving")
  parts.resolve(CallerServer).closeAll()
  await stopLoops(parts)
  await left
  for (const probe of probes) probe.close()
  log.info("stopped")
}

/** Hands the engines over; what can't be handed over falls to others when the lease lapses. */
async function leaveFleet(parts: DependencyContainer, log: Log): Promise<void> {
  const steps = [
    () => parts.resolve(Membership).announceStop(),
    () => parts.resolve(Ownership).handOver(),
  ]
  for (const step of steps) {
    try {
      await step()
    } catch (error) {
      log.warn({ err: error }, "engines not handed over")
    }
  }
  parts.resolve(Owner).stop()
}

async function stopLoops(parts: DependencyContainer): Promise<void> {
  parts.resolve(ConfigurationWatch).stop()
  parts.resolve(DirectoryPoll).stop()
  parts.resolve(Ownership).stop()
  parts.resolve(Links).stop()
  parts.resolve(LinkServer).stop()
  await parts.resolve(Membership).stop()
  await parts.resolve(EndpointPools).stop()
}
