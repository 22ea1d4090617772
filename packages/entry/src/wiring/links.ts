import type { DependencyContainer } from "tsyringe"
import type { AccountName, EndpointId, InstanceId, Millis, StoreItem } from "@galenaway/core"
import { EndpointHealth, Residency, type SpeedSample } from "@galenaway/routing"
import {
  ConfigurationWatcher,
  EndpointDirectory,
  OperatorCatalogue,
  ReadFreshness,
} from "../catalogue/index.js"
import { formatPartItem, Ownership } from "../fleet/index.js"
import { SlowInstances } from "../load/index.js"
import {
  PeerLinks,
  LeavingReports,
  LinkServer,
  AdapterUseTable,
  NO_STORE_NEWS,
  type StoreNews,
} from "../links/index.js"
import { Owner } from "../owner/index.js"
import { PartGuard } from "../quarantine/index.js"
import {
  formatQuotaReply,
  parseQuotaReply,
  parseQuotaReport,
  QuotaAllocators,
  QuotaGate,
} from "../quota/index.js"
import { ENTRY_TOKENS } from "../tokens.js"

const PERCENT = 100

/** Creates the server that peers connect to. */
export function createLinkServer(c: DependencyContainer): LinkServer {
  const owner = c.resolve(Owner)
  const catalogue = c.resolve(OperatorCatalogue)
  return new LinkServer(
    {
      admit: ({ endpoint, instance, account, ...options }, signal) =>
        owner.admit(endpoint, instance, { ...options, ...decodeAccount(account) }, signal),
      load: ({ endpoint, adapter, version, account, ...options }) =>
        owner.load(endpoint, adapter, version > 0 ? version : undefined, {
          ...options,
          ...decodeAccount(account),
        }),
      onUpdate: (update) => {
        const { instance, configurationVersion, uses, ends, soundParts, partStates } = update
        c.resolve(PartGuard).onReport({ ends, soundParts, states: partStates })
        c.resolve(LeavingReports).onReport(instance, update.leaving)
        c.resolve(SlowInstances).onReport(instance, update.isSlow)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, instance)
        for (const use of uses) {
          const { endpoint, adapters, running, pacePercent, paceAgeMs } = use
          if (pacePercent > 0) onPeerPace(c, endpoint, pacePercent, paceAgeMs)
          const { slowdownPercent, slowdownCount: count } = use
          if (count > 0) onSpeedSample(c, endpoint, { slowdown: slowdownPercent / PERCENT, count })
          owner.onRunning(endpoint, instance, running)
          for (const { adapter, inFlight } of adapters)
            owner.onUse(endpoint, adapter, instance, inFlight)
        }
      },
      allocate: (report) =>
        formatQuotaReply(c.resolve(QuotaAllocators).handle(parseQuotaReport(report))),
      listSnapshots: () => owner.listSnapshots(),
      listPartStates: () => c.resolve(PartGuard).listStates(),
      listLeaving: () => c.resolve(LeavingReports).listRecent(),
      listSuspects: () => c.resolve(PartGuard).listSuspects(),
      listSlow: () => listSlow(c),
      listItems: () => listItems(c),
      getStoreNews: () => buildStoreNews(c),
      getConfigurationVersion: () => catalogue.version,
      getOwnerReport: () => c.resolve(Ownership).getOwnerReport(),
      onFollowerGone: (instance) => {
        owner.removeHolder(instance)
        c.resolve(SlowInstances).removeFollower(instance)
      },
    },
    c.resolve(ENTRY_TOKENS.clock),
    c.resolve(ENTRY_TOKENS.log),
  )
}

/** Merges what an instance has seen of the speed of an owned engine, and publishes a changed result. */
function onSpeedSample(c: DependencyContainer, endpoint: EndpointId, sample: SpeedSample): void {
  const { speeds } = c.resolve(EndpointHealth)
  const owner = c.resolve(Owner)
  if (!owner.hasEngine(endpoint) || !speeds.onSample(endpoint, sample)) return
  const slowdown = speeds.getLearned(endpoint)
  speeds.onPublished(endpoint, slowdown)
  c.resolve(ENTRY_TOKENS.log).info({ endpoint, slowdown }, "speed of an engine has changed")
  owner.publish(endpoint)
}

/** Records the pace that an engine reported to another instance. */
function onPeerPace(
  c: DependencyContainer,
  endpoint: EndpointId,
  pacePercent: number,
  ageMs: Millis,
): void {
  const at = c.resolve(ENTRY_TOKENS.clock).now() - ageMs
  c.resolve(EndpointHealth).times.onPace(endpoint, pacePercent, at)
}

/** Decodes the account of a message, which is empty if the request has none. */
function decodeAccount(account: string): { readonly account?: AccountName } {
  return account === "" ? {} : { account }
}

/** Lists the followers that delay their answers, and this instance if it does. */
function listSlow(c: DependencyContainer): readonly InstanceId[] {
  const isSlow = c.resolve(ENTRY_TOKENS.monitor)?.isSlow ?? false
  const followers = c.resolve(SlowInstances).listFollowers()
  return isSlow ? [...followers, c.resolve(ENTRY_TOKENS.self).id] : followers
}

/** Lists the items of the store that an instance needs to start while the store can't be reached. */
function listItems(c: DependencyContainer): readonly StoreItem[] {
  return [
    ...c.resolve(OperatorCatalogue).listItems(),
    ...c.resolve(EndpointDirectory).listItems(),
    ...c.resolve(PartGuard).listStates().map(formatPartItem),
  ]
}

/** Creates the reports by which instances send each other the endpoints that are leaving. */
export function createLeavingReports(c: DependencyContainer): LeavingReports {
  return new LeavingReports({
    directory: c.resolve(EndpointDirectory),
    log: c.resolve(ENTRY_TOKENS.log),
    send: (leaving) => {
      c.resolve(PeerLinks).sendLeaving(leaving)
    },
    publish: (leaving) => {
      c.resolve(LinkServer).publishLeaving(leaving)
    },
    isCollector: () => c.resolve(PeerLinks).isCollector(),
  })
}

/** Creates the links to peers. Their updates are written to the residency table. */
export function createLinks(c: DependencyContainer): PeerLinks {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const endpointsByPeer = new Map<string, Set<string>>()
  return new PeerLinks({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    owner: c.resolve(Owner),
    uses: c.resolve(AdapterUseTable),
    countRunning: (endpoint) => c.resolve(EndpointHealth).countInFlight(endpoint),
    takeSpeedSample: (endpoint) => c.resolve(EndpointHealth).speeds.takeSample(endpoint),
    onOwnSpeedSample: (endpoint, sample) => {
      onSpeedSample(c, endpoint, sample)
    },
    getLastPace: (endpoint) => c.resolve(EndpointHealth).times.getLastPace(endpoint),
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    handlers: {
      onQuotaReply: (reply) => {
        c.resolve(QuotaGate).onReply(parseQuotaReply(reply))
      },
      getConfigurationVersion: () => c.resolve(OperatorCatalogue).version,
      isSlow: () => c.resolve(ENTRY_TOKENS.monitor)?.isSlow ?? false,
      listPartStates: () => c.resolve(PartGuard).listStates(),
      onUpdate: (peer, update) => {
        const { configurationVersion, engines, changes, dropped, suspects, partStates } = update
        c.resolve(PartGuard).onPublished(peer, suspects, partStates)
        c.resolve(LeavingReports).onPublished(peer, update.leaving)
        c.resolve(SlowInstances).onPublished(peer, update.slowInstances, clock.now())
        handleStoreNews(c, update)
        void c.resolve(ConfigurationWatcher).onPeerVersion(configurationVersion, peer)
        const endpoints = endpointsByPeer.get(peer) ?? new Set<string>()
        endpointsByPeer.set(peer, endpoints)
        for (const endpoint of dropped) endpoints.delete(endpoint)
        for (const endpoint of endpoints) residency.confirm(endpoint, clock.now())
        for (const { endpoint, models, adapters, slowdownPercent } of engines) {
          endpoints.add(endpoint)
          if (slowdownPercent > 0)
            c.resolve(EndpointHealth).speeds.onPublished(endpoint, slowdownPercent / PERCENT)
          residency.update(endpoint, "owner", models, adapters, clock.now())
        }
        for (const { endpoint, loaded, evicted } of changes)
          residency.change(endpoint, loaded, evicted, clock.now())
      },
    },
  })
}

/** Builds what this instance knows of the store for its followers. The news of a few instances are enough for all. */
function buildStoreNews(c: DependencyContainer): StoreNews {
  if (!c.resolve(PeerLinks).isCollector()) return NO_STORE_NEWS
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  const stated = c.resolve(ReadFreshness).newest
  const watched = c.resolve(ConfigurationWatcher).state
  return {
    store: stated && { revision: stated.revision, ageMs: now - stated.at },
    catalogue: watched && {
      revision: watched.revision,
      lastChange: watched.lastChange,
      ageMs: now - watched.at,
    },
  }
}

/** Handles what a peer knows of the store. */
function handleStoreNews(c: DependencyContainer, { store, catalogue }: StoreNews): void {
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  if (store) c.resolve(ReadFreshness).onStated({ revision: store.revision, at: now - store.ageMs })
  if (!catalogue) return
  const { revision, lastChange, ageMs } = catalogue
  c.resolve(ConfigurationWatcher).onPeerState({ revision, lastChange, at: now - ageMs })
}
