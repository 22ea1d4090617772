import type { Clock, DataCentre, Incarnation, InstanceId, Millis } from "@galenaway/core"
import type { Heartbeat } from "../generated/peer.js"

/** The state of another instance, from its heartbeats and the calls to it. */
export interface PeerRow {
  readonly address: string
  incarnation: Incarnation | undefined
  instance: InstanceId | undefined
  dataCentre: DataCentre | undefined
  isLeaving: boolean
  configurationRevision: number
  /**
   * Time of its last heartbeat, which it sent as a call or a reply. Initially
   * the time of its addition.
   */
  lastContactAt: Millis
  /**
   * Start of the earliest call that failed since the last contact. Undefined
   * while the peer answers.
   */
  unansweredSince: Millis | undefined
  /**
   * How long calls may fail before the peer counts as silent. Doubled when a
   * suspicion was wrong.
   */
  suspicionTimeoutMs: Millis
}

/** Initial suspicion timeout of peers in this data centre. */
const SUSPICION_TIMEOUT_MS = 1500
/** Initial suspicion timeout of peers in other data centres. */
const REMOTE_SUSPICION_TIMEOUT_MS = 5000
const MAX_SUSPICION_TIMEOUT_MS = 60_000

/** Tracks the other instances by the address of their peer interface. */
export class PeerTable {
  private readonly rows = new Map<string, PeerRow>()
  private readonly gone = new Set<Incarnation>()

  constructor(
    private readonly clock: Clock,
    private readonly localDataCentre: DataCentre,
  ) {}

  /** Lists the rows of all known addresses. */
  list(): readonly PeerRow[] {
    return [...this.rows.values()]
  }

  /** Adds an address. Has no effect if the address is known. */
  add(address: string, dataCentre?: DataCentre): void {
    if (this.rows.has(address)) return
    const isLocal = dataCentre === undefined || dataCentre === this.localDataCentre
    this.rows.set(address, {
      address,
      incarnation: undefined,
      instance: undefined,
      dataCentre,
      isLeaving: false,
      configurationRevision: 0,
      lastContactAt: this.clock.now(),
      unansweredSince: undefined,
      suspicionTimeoutMs: isLocal ? SUSPICION_TIMEOUT_MS : REMOTE_SUSPICION_TIMEOUT_MS,
    })
  }

  /** Removes an address. */
  remove(address: string): void {
    this.rows.delete(address)
  }

  /**
   * Records a heartbeat. Returns the incarnation that it replaces at the same
   * address, whose process has ended, or undefined if it replaces none.
   */
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

  /** Returns whether an incarnation's process is known to have ended. */
  isGone(incarnation: Incarnation): boolean {
    return this.gone.has(incarnation)
  }

  /** Returns whether an incarnation is known and not silent. */
  isResponsive(incarnation: Incarnation): boolean {
    const row = this.findRow(incarnation)
    return row !== undefined && !this.isSilent(row)
  }

  /**
   * Records a failed call and the time at which it began. Ignored if the
   * peer has sent a heartbeat since then.
   */
  recordFailedCall(row: PeerRow, startedAt: Millis): void {
    if (row.lastContactAt < startedAt) row.unansweredSince ??= startedAt
  }

  /**
   * Returns whether calls to a peer have failed for longer than its suspicion
   * timeout. Only failed calls count, not the time since the last contact, so
   * the result does not depend on how often a peer is called.
   */
  isSilent(row: PeerRow): boolean {
    return (
      row.unansweredSince !== undefined &&
      this.clock.now() - row.unansweredSince > row.suspicionTimeoutMs
    )
  }

  /** Doubles the suspicion timeout of an incarnation after a wrong suspicion, up to a limit. */
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
