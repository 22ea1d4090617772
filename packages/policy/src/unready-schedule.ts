import type { InstanceId, Millis } from "@galenaway/core"
import { hashText } from "./hash.js"

/** The instances of one data centre, as one of them sees them. */
export interface PeerLoads {
  /** All instances of the data centre, with this one. */
  readonly members: readonly InstanceId[]
  /** Those that report that they are slow. */
  readonly slow: ReadonlySet<InstanceId>
}

/** At most this share of a data centre's instances takes a break at once. */
const MAX_UNREADY_SHARE = 0.25
/** From this share of slow instances on, the others can't take the load. */
const MAX_SLOW_SHARE = 0.5
/** Time after which it is another group's turn. */
const TURN_MS = 4000
/** Time at both ends of a turn without breaks, since the clocks of instances differ. */
const TURN_MARGIN_MS = 250
/** A load balancer takes an instance out after two failed checks, one a second. */
const UNREADY_MS = TURN_MS - 2 * TURN_MARGIN_MS
/** Time between two such periods, so that an instance is ready for at least nine tenths of the time. */
const MIN_READY_MS = 9 * UNREADY_MS

/** Returns whether the callers of a slow instance should be moved to others: fewer than half of the instances, with this one, are slow. */
export function canMoveCallers(self: InstanceId, { members, slow }: PeerLoads): boolean {
  const slowCount = members.filter((id) => slow.has(id)).length
  return slow.has(self) && slowCount < MAX_SLOW_SHARE * members.length
}

/**
 * Returns whether it is an instance's turn to take a break. The instances of a data
 * centre form groups by the hash of their names, each at most a quarter of all, whose
 * turns follow one another by the wall clock. So no messages are needed to agree.
 */
export function isOwnTurn(
  self: InstanceId,
  members: readonly InstanceId[],
  wallNow: Millis,
): boolean {
  const groupSize = Math.floor(MAX_UNREADY_SHARE * members.length)
  if (groupSize === 0) return false
  const groupCount = Math.ceil(members.length / groupSize)
  const order = [...members].sort((a, b) => hashText(a) - hashText(b) || (a < b ? -1 : 1))
  const turn = Math.floor(wallNow / TURN_MS) % groupCount
  const inTurnMs = wallNow % TURN_MS
  const isWithinMargins = inTurnMs >= TURN_MARGIN_MS && inTurnMs < TURN_MS - TURN_MARGIN_MS
  const rank = order.indexOf(self)
  return rank >= 0 && isWithinMargins && rank % groupCount === turn
}

/**
 * Decides when a slow instance reports that it isn't ready for new connections. These
 * periods are rare and short, at most a quarter of a data centre's instances have one
 * at a time, and none does when half or more are slow.
 */
export class UnreadySchedule {
  private endsAt: Millis = -Infinity

  constructor(private readonly self: InstanceId) {}

  /** Returns whether the instance isn't ready now. Call it regularly. */
  update(peers: PeerLoads, now: Millis, wallNow: Millis): boolean {
    const isPossible =
      canMoveCallers(this.self, peers) && isOwnTurn(this.self, peers.members, wallNow)
    if (now >= this.endsAt + MIN_READY_MS && isPossible) this.endsAt = now + UNREADY_MS
    if (!isPossible) this.endsAt = Math.min(this.endsAt, now)
    return now < this.endsAt
  }
}
