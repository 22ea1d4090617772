import "reflect-metadata"
import { randomUUID } from "node:crypto"
import { container, type DependencyContainer, instanceCachingFactory } from "tsyringe"
import type { InjectionToken } from "tsyringe"
import { computeAuthorityTimes, OrderAuthority, SuspensionDetector } from "@galenaway/coordination"
import { systemClock } from "@galenaway/core"
import { createLog, createMetrics } from "@galenaway/observe"
import { EndpointHealth, Popularity, Residency, VersionTable } from "@galenaway/routing"
import { type DestinationStream, pino } from "pino"
import { ConfigurationWatch, Directory, DirectoryPoll, Serving } from "./catalogue/index.js"
import { Membership, Ownership } from "./fleet/index.js"
import { EndpointPools, ForwardHandler } from "./forward/index.js"
import { fetchCatalogue, PeerLinks, LinkServer, AdapterUseTable } from "./links/index.js"
import { Owner } from "./owner/index.js"
import { RequestLog } from "./request-log.js"
import { CallerServer } from "./server.js"
import type { EntrySettings } from "./settings.js"
import { ENTRY_TOKENS, type EntryPorts } from "./tokens.js"
import { createForwardParts, createLinks, createLinkServer, createOwner } from "./wiring.js"

const STANDARD_OUTPUT = 1
const LOG_BLOCK_BYTES = 2048
/** Longest time that a line waits to be written; a killed process loses no more than that. */
const LOG_FLUSH_MS = 250
const REQUEST_LINES_PER_SECOND = 400
/** Longest gap between two looks at the clocks that isn't a pause of the process. */
const MAX_GAP_MS = 250
/** Part of the limit on older adapter versions that passes before they are avoided. */
const VERSION_GRACE_SHARE = 0.5
const POPULARITY_HALF_LIFE_MS = 5000

/** Builds the container of one entry instance. Tests replace parts in a child of it. */
export function createEntryContainer(
  settings: EntrySettings,
  ports: EntryPorts,
): DependencyContainer {
  const parts = container.createChildContainer()
  const { id, dataCentre, peerListen } = settings
  const incarnation = randomUUID()
  parts.registerInstance(ENTRY_TOKENS.settings, settings)
  parts.registerInstance(ENTRY_TOKENS.ports, ports)
  parts.registerInstance(ENTRY_TOKENS.clock, systemClock)
  parts.registerInstance(ENTRY_TOKENS.state, { isStopping: false })
  parts.registerInstance(ENTRY_TOKENS.times, computeAuthorityTimes(settings.leaseMs))
  parts.registerInstance(ENTRY_TOKENS.self, {
    id,
    incarnation,
    dataCentre,
    peerAddress: peerListen,
    isStopping: false,
  })
  const output = openOutput()
  const log = createLog(settings.logLevel, { instance: id, dataCentre }, output)
  parts.registerInstance(ENTRY_TOKENS.log, log)
  registerTables(parts, settings)
  registerCatalogue(parts, ports)
  registerFleet(parts, ports)
  registerForwarding(parts, settings, ports)
  return parts
}

/** Opens the standard output for log lines; they are written in blocks, since each write costs a switch of threads. */
function openOutput(): DestinationStream {
  const output = pino.destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    minLength: LOG_BLOCK_BYTES,
    periodicFlush: LOG_FLUSH_MS,
  })
  process.once("exit", () => {
    output.flushSync()
  })
  return output
}

function registerCached<T>(
  parts: DependencyContainer,
  token: InjectionToken<T>,
  create: (c: DependencyContainer) => T,
): void {
  parts.register(token, { useFactory: instanceCachingFactory(create) })
}

function registerTables(parts: DependencyContainer, settings: EntrySettings): void {
  registerCached(parts, ENTRY_TOKENS.metrics, (c) => createMetrics(c.resolve(ENTRY_TOKENS.clock)))
  registerCached(
    parts,
    VersionTable,
    () => new VersionTable(VERSION_GRACE_SHARE * settings.versionLimitMs),
  )
  registerCached(parts, EndpointHealth, () => new EndpointHealth())
  registerCached(parts, Residency, () => new Residency())
  registerCached(parts, Popularity, () => new Popularity(POPULARITY_HALF_LIFE_MS))
  registerCached(parts, AdapterUseTable, () => new AdapterUseTable())
  registerCached(parts, EndpointPools, () => new EndpointPools())
  registerCached(
    parts,
    RequestLog,
    (c) =>
      new RequestLog(
        c.resolve(ENTRY_TOKENS.log),
        c.resolve(ENTRY_TOKENS.clock),
        REQUEST_LINES_PER_SECOND,
      ),
  )
}

function registerCatalogue(parts: DependencyContainer, { store, format }: EntryPorts): void {
  registerCached(
    parts,
    Serving,
    (c) =>
      new Serving(
        format,
        c.resolve(VersionTable),
        c.resolve(ENTRY_TOKENS.clock),
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
  registerCached(
    parts,
    Directory,
    (c) => new Directory(format, c.resolve(ENTRY_TOKENS.clock), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    parts,
    ConfigurationWatch,
    (c) =>
      new ConfigurationWatch(
        store,
        format,
        c.resolve(Serving),
        c.resolve(ENTRY_TOKENS.log),
        (peer) => fetchCatalogue(c.resolve(Ownership).instances.get(peer)?.peerAddress ?? peer),
      ),
  )
  registerCached(
    parts,
    DirectoryPoll,
    (c) =>
      new DirectoryPoll(
        store,
        format.registrationPrefix,
        c.resolve(Directory),
        c.resolve(ENTRY_TOKENS.log),
      ),
  )
}

function registerFleet(parts: DependencyContainer, { store, control }: EntryPorts): void {
  registerCached(parts, OrderAuthority, (c) => new OrderAuthority(c.resolve(ENTRY_TOKENS.times)))
  registerCached(
    parts,
    Membership,
    (c) => new Membership(store, c.resolve(ENTRY_TOKENS.self), c.resolve(ENTRY_TOKENS.log)),
  )
  registerCached(
    parts,
    Ownership,
    (c) =>
      new Ownership(c.resolve(ENTRY_TOKENS.self), {
        store,
        authority: c.resolve(OrderAuthority),
        suspension: new SuspensionDetector(c.resolve(ENTRY_TOKENS.clock), MAX_GAP_MS),
        clock: c.resolve(ENTRY_TOKENS.clock),
        log: c.resolve(ENTRY_TOKENS.log),
        listEngines: () => c.resolve(Owner).listEngines(),
        isAlive: (id) => c.resolve(PeerLinks).isAlive(id),
        fetchOwnerReports: () => c.resolve(PeerLinks).fetchOwnerReports(),
        onListed: (isListed) => {
          c.resolve(Membership).onListed(isListed)
        },
      }),
  )
  registerCached(parts, Owner, (c) => createOwner(c, control))
  registerCached(parts, LinkServer, createLinkServer)
  registerCached(parts, PeerLinks, createLinks)
}

function registerForwarding(
  parts: DependencyContainer,
  settings: EntrySettings,
  { dialect }: EntryPorts,
): void {
  registerCached(parts, ENTRY_TOKENS.forward, (c) => createForwardParts(c, settings, dialect))
  registerCached(parts, ForwardHandler, (c) => new ForwardHandler(c.resolve(ENTRY_TOKENS.forward)))
  registerCached(parts, CallerServer, (c) => new CallerServer(c.resolve(ForwardHandler)))
}
