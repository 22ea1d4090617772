import type { Clock, DataCentre, Incarnation, InstanceId, Millis } from "@galenaway/core"
import type { Heartbeat } from "../generated/peer.js"

/** What this instance knows of another one by its heartbeats. */
export interface PeerRow {
  readonly address: string
  incarnation: Incarnation | undefined
  instance: InstanceId | undefined
  dataCentre: DataCentre | undefined
  isLeaving: boolean
  configurationRevision: number
  /** When it last answered or called. */
  lastContactAt: Millis
  /** When the first call began that it has not answered since it was heard; undefined while it answers. */
  unansweredSince: Millis | undefined
  /** How long it may be silent before it is suspected. It grows when a suspicion was wrong. */
  suspicionTimeoutMs: Millis
}

const SUSPICION_TIMEOUT_MS = 1500
const REMOTE_SUSPICION_TIMEOUT_MS = 5000
const MAX_SUSPICION_TIMEOUT_MS = 60_000

/** The table of other instances, by the address of their peer interface. */
export class PeerTable {
  private readonly rows = new Map<string, PeerRow>()
  private readonly gone = new Set<Incarnation>()

  constructor(
    private readonly clock: Clock,
    private readonly localDataCentre: DataCentre,
  ) {}

  /** Lists the rows. */
  list(): readonly PeerRow[] {
    return [...this.rows.values()]
  }

  /** Adds an address, unless it is known. */
  add(address: string, dataCentre?: DataCentre): void {
    if (this.rows.has(address)) return
    const isNear = dataCentre === undefined || dataCentre === this.localDataCentre
    this.rows.set(address, {
      address,
      incarnation: undefined,
      instance: undefined,
      dataCentre,
      isLeaving: false,
      configurationRevision: 0,
      lastContactAt: this.clock.now(),
      unansweredSince: undefined,
      suspicionTimeoutMs: isNear ? SUSPICION_TIMEOUT_MS : REMOTE_SUSPICION_TIMEOUT_MS,
    })
  }

  /** Removes an address. */
  remove(address: string): void {
    this.rows.delete(address)
  }

  /** Takes a heartbeat. Returns the incarnation that it replaces at its address, whose process is gone. */
  recordHeartbeat(heartbeat: Heartbeat): Incarnation | undefined {
    this.add(heartbeat.peerAddress, heartbeat.dataCentre)
    const row = this.rows.get(heartbeat.peerAddress)
    if (!row || this.gone.has(heartbeat.incarnation)) return undefined
    const previous = row.incarnation
    row.incarnation = heartbeat.incarnation
    row.instance = heartbeat.instance
    row.dataCentre = heartbeat.dataCentre
    row.isLeaving = heartbeat.isLeaving
    row.configurationRevision = heartbeat.configurationRevision
    row.lastContactAt = this.clock.now()
    row.unansweredSince = undefined
    return previous !== undefined && previous !== heartbeat.incarnation ? previous : undefined
  }

  /** Records that an incarnation's process has ended. */
  setGone(incarnation: Incarnation): void {
    this.gone.add(incarnation)
    for (const row of this.rows.values())
      if (row.incarnation === incarnation) row.incarnation = undefined
  }

  /** Tells whether an incarnation's process is known to have ended. */
  isGone(incarnation: Incarnation): boolean {
    return this.gone.has(incarnation)
  }

  /** Tells whether an incarnation answered lately. */
  isResponsive(incarnation: Incarnation): boolean {
    const row = this.findRow(incarnation)
    return row !== undefined && !this.isSilent(row)
  }

  /** Records a call that a peer has not answered, with the time at which it began. */
  recordFailedCall(row: PeerRow, startedAt: Millis): void {
    if (row.lastContactAt < startedAt) row.unansweredSince ??= startedAt
  }

  /**
   * Tells whether a peer has left calls unanswered beyond its patience. Not
   * being called is no silence, so this holds for any number of peers.
   */
  isSilent(row: PeerRow): boolean {
    return (
      row.unansweredSince !== undefined &&
      this.clock.now() - row.unansweredSince > row.suspicionTimeoutMs
    )
  }

  /** Waits longer before the next suspicion of an incarnation, since the last one was wrong. */
  extendSuspicionTimeout(incarnation: Incarnation): void {
    const row = this.findRow(incarnation)
    if (row) row.suspicionTimeoutMs = Math.min(row.suspicionTimeoutMs * 2, MAX_SUSPICION_TIMEOUT_MS)
  }

  /** Finds the row of an incarnation. */
  findRow(incarnation: Incarnation): PeerRow | undefined {
    for (const row of this.rows.values()) if (row.incarnation === incarnation) return row
    return undefined
  }
}
