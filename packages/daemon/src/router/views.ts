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

/** What is known of one engine's load, from its owner's heartbeat or this instance's own tables. */
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

/** The table of engines as this instance sees them, for choosing whom to ask. */
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

  /** Returns the phase of an endpoint. Operators' drains count as leaving. */
  getPhase(endpoint: EndpointId): EndpointPhase {
    const phase = this.phases.get(endpoint) ?? "live"
    return phase === "live" && this.draining.has(endpoint) ? "leaving" : phase
  }

  /** Takes the platform's list. Returns the endpoints whose phase changed. */
  handleListings(listings: readonly PlatformListEntry[]): readonly EndpointId[] {
    return this.applyPhaseChange(() => {
      for (const { id, phase } of listings) this.phases.set(id, phase)
    })
  }

  /** Takes the endpoints that operators drain. Returns those whose phase changed. */
  setDraining(endpoints: ReadonlySet<EndpointId>): readonly EndpointId[] {
    return this.applyPhaseChange(() => {
      this.draining.clear()
      for (const endpoint of endpoints) this.draining.add(endpoint)
    })
  }

  /** Takes what an owner tells of its endpoints. */
  handleDigests(digests: readonly EndpointDigest[]): void {
    const seenAt = this.clock.now()
    for (const digest of digests)
      this.loads.set(digest.endpoint, { load: parseDigest(digest), seenAt })
  }

  /** Takes a grant into account until the owner's next heartbeat, so that requests spread. */
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
    const isOwnerHeard =
      own !== undefined || (owner !== undefined && this.peers.isResponsive(owner))
    return {
      info,
      phase: this.getPhase(info.id),
      owner,
      isReachable: isOwnerHeard && load.isReachable,
      running: load.running,
      queued: load.queued,
      resident: load.resident,
      loading: load.loading,
      seenAt: own ? this.clock.now() : (row?.seenAt ?? 0),
    }
  }
}

/** Formats what an owner tells of an endpoint. */
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
