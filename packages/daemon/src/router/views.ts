import {
  type AdapterKey,
  type Clock,
  type EndpointId,
  type EndpointInfo,
  type EndpointPhase,
  type Incarnation,
  type PlatformListEntry,
  type Millis,
  type Rank,
  RANKS,
} from "@galenaway/core"
import type { EndpointView } from "@galenaway/policy"
import type { EndpointDigest } from "../generated/peer.js"
import type { OwnershipDocuments } from "../ownership/documents.js"
import type { PeerTable } from "../ownership/peers.js"

/** The load of one engine, from its owner's heartbeat or from this instance's scheduler. */
export interface EndpointLoad {
  readonly isReachable: boolean
  readonly running: number
  readonly queued: Readonly<Record<Rank, number>>
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
}

interface ObservedLoad {
  readonly load: EndpointLoad
  readonly seenAt: Millis
}

const NO_LOAD: EndpointLoad = {
  isReachable: false,
  running: 0,
  queued: { urgent: 0, standard: 0, bulk: 0 },
  resident: new Set(),
  loading: new Set(),
}

/** Holds this instance's view of each engine, from which owners are selected for grant requests. */
export class EndpointViewTable {
  private readonly loads = new Map<EndpointId, ObservedLoad>()
  private readonly phases = new Map<EndpointId, EndpointPhase>()
  private readonly draining = new Set<EndpointId>()

  constructor(
    private readonly self: Incarnation,
    private readonly engines: readonly EndpointInfo[],
    private readonly documents: OwnershipDocuments,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
    private readonly readOwnedLoad: (endpoint: EndpointId) => EndpointLoad | undefined,
  ) {}

  /** Lists a view of each engine. */
  list(): readonly EndpointView[] {
    return this.engines.map((info) => this.getView(info))
  }

  /** Returns the phase of an endpoint. An endpoint that operators drain counts as leaving. */
  getPhase(endpoint: EndpointId): EndpointPhase {
    const phase = this.phases.get(endpoint) ?? "live"
    return phase === "live" && this.draining.has(endpoint) ? "leaving" : phase
  }

  /** Applies the platform's listings. Returns the endpoints whose phase has changed. */
  handleListings(listings: readonly PlatformListEntry[]): readonly EndpointId[] {
    return this.applyPhaseChange(() => {
      for (const { id, phase } of listings) this.phases.set(id, phase)
    })
  }

  /** Sets the endpoints that operators drain. Returns the endpoints whose phase has changed. */
  setDraining(endpoints: ReadonlySet<EndpointId>): readonly EndpointId[] {
    return this.applyPhaseChange(() => {
      this.draining.clear()
      for (const endpoint of endpoints) this.draining.add(endpoint)
    })
  }

  /** Stores the digests of endpoints from their owner's heartbeat. */
  handleDigests(digests: readonly EndpointDigest[]): void {
    const seenAt = this.clock.now()
    for (const digest of digests)
      this.loads.set(digest.endpoint, { load: parseDigest(digest), seenAt })
  }

  /**
   * Counts a received grant as running until the owner's next heartbeat, to
   * spread requests over endpoints.
   */
  recordGrant(endpoint: EndpointId): void {
    const row = this.loads.get(endpoint)
    if (!row) return
    const load = { ...row.load, running: row.load.running + 1 }
    this.loads.set(endpoint, { ...row, load })
  }

  private applyPhaseChange(change: () => void): readonly EndpointId[] {
    const ids = [...new Set([...this.engines.map((info) => info.id), ...this.phases.keys()])]
    const before = ids.map((id) => this.getPhase(id))
    change()
    return ids.filter((id, index) => this.getPhase(id) !== before[index])
  }

  private getView(info: EndpointInfo): EndpointView {
    const owner = this.documents.findOwnership(info.id)?.owner
    const own = owner === this.self ? this.readOwnedLoad(info.id) : undefined
    const row = this.loads.get(info.id)
    const load = own ?? row?.load ?? NO_LOAD
    const isOwnerResponsive =
      own !== undefined || (owner !== undefined && this.peers.isResponsive(owner))
    return {
      info,
      phase: this.getPhase(info.id),
      owner,
      isReachable: isOwnerResponsive && load.isReachable,
      running: load.running,
      queued: load.queued,
      resident: load.resident,
      loading: load.loading,
      seenAt: own ? this.clock.now() : (row?.seenAt ?? 0),
    }
  }
}

/** Formats an owner's digest of an endpoint for its heartbeat. */
export function formatDigest(
  endpoint: EndpointId,
  phase: EndpointPhase,
  load: EndpointLoad,
): EndpointDigest {
  return {
    endpoint,
    phase,
    isReachable: load.isReachable,
    running: load.running,
    queuedByRank: RANKS.map((rank) => load.queued[rank]),
    resident: [...load.resident],
    loading: [...load.loading],
  }
}

function parseDigest(digest: EndpointDigest): EndpointLoad {
  const [urgent = 0, standard = 0, bulk = 0] = digest.queuedByRank
  return {
    isReachable: digest.isReachable,
    running: digest.running,
    queued: { urgent, standard, bulk },
    resident: new Set(digest.resident as AdapterKey[]),
    loading: new Set(digest.loading as AdapterKey[]),
  }
}
