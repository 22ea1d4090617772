import type { DependencyContainer } from "tsyringe"
import type { EndpointId, EngineClient, Millis, Registration } from "@galenaway/core"
import { EndpointHealth, PaceTable, Residency, VersionTable } from "@galenaway/routing"
import { AccountWeights } from "../accounts/index.js"
import { EndpointDirectory, OperatorCatalogue } from "../catalogue/index.js"
import { Ownership } from "../fleet/index.js"
import { PeerLinks, LinkServer } from "../links/index.js"
import { type GatePace, Owner } from "../owner/index.js"
import { ENTRY_TOKENS } from "../tokens.js"

/** Longest pause between two events of a stream where no route has such an objective. */
const DEFAULT_PAUSE_MS = 500

/** Creates the owner of this instance's engines. Their holdings are written to the residency table and published to peers. */
export function createOwner(c: DependencyContainer, engineClient: EngineClient): Owner {
  const residency = c.resolve(Residency)
  const clock = c.resolve(ENTRY_TOKENS.clock)
  const weights = c.resolve(AccountWeights)
  return new Owner({
    self: c.resolve(ENTRY_TOKENS.self).id,
    ownership: c.resolve(Ownership),
    directory: c.resolve(EndpointDirectory),
    catalogue: c.resolve(OperatorCatalogue),
    versions: c.resolve(VersionTable),
    engineClient,
    clock,
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    getPace: (engine) => buildPace(c, engine),
    getWeight: (account) => weights.get(account),
    orderTimeoutMs: c.resolve(ENTRY_TOKENS.times).orderTimeoutMs,
    getSlowdown: (endpoint) => c.resolve(EndpointHealth).speeds.getSlowdown(endpoint),
    getPause: (endpoint) => c.resolve(EndpointHealth).getPause(endpoint, clock.now()),
    onPause: (endpoint, ms) => {
      recordPause(c, endpoint, ms)
    },
    // The monotonic clock starts at 0 with the process.
    startedAt: 0,
    onEngineChanged: (snapshot) => {
      const { endpoint, models, adapters } = snapshot
      residency.update(endpoint, "owner", models, adapters, clock.now())
      c.resolve(LinkServer).publish(snapshot)
    },
    onEngineLost: (endpoint) => {
      c.resolve(LinkServer).publishLost(endpoint)
    },
  })
}

/** Records that an endpoint wants neither requests nor orders from this instance for a time. */
export function recordPause(c: DependencyContainer, endpoint: EndpointId, ms: Millis): void {
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  if (c.resolve(EndpointHealth).onPause(endpoint, ms, now))
    c.resolve(ENTRY_TOKENS.log).info({ endpoint, ms }, "endpoint asks for a pause")
}

/** Builds the pace of an engine from that of its service and from what the engine reports. */
function buildPace(c: DependencyContainer, { id, service }: Registration): GatePace {
  const pace = c.resolve(PaceTable).get(service)
  const pauseMs = c.resolve(OperatorCatalogue).routes?.getPauseMs(service) ?? DEFAULT_PAUSE_MS
  const { speeds, times } = c.resolve(EndpointHealth)
  const now = c.resolve(ENTRY_TOKENS.clock).now()
  const slowdown = speeds.getSlowdown(id) * pace.computeSlowdown(times.estimatePace(id, now))
  return {
    tokensPerMs: pace.tokensPerMs / slowdown,
    eventMs: pace.eventMs * slowdown,
    firstTokenMs: pace.firstTokenMs * slowdown,
    batchMs: pace.computeBatchMs(pauseMs),
    runMs: pace.runMs * slowdown,
    reportIntervalMs: c.resolve(PeerLinks).reportIntervalMs,
  }
}
