import type { EndpointId, Incarnation } from "@galenaway/core"
import {
  createMember,
  type MemberEvent,
  type MemberReply,
  type MemberState,
  updateMember,
} from "@galenaway/coordination"

/**
 * Holds this instance's state as a member: the grants that it holds and the
 * evictions that it witnesses.
 */
export class LocalMember {
  private state: MemberState

  constructor(self: Incarnation) {
    this.state = createMember(self)
  }

  /** Applies an event and returns the reply to its sender. */
  readonly handle = (event: MemberEvent): MemberReply => {
    const { state, reply } = updateMember(this.state, event)
    this.state = state
    return reply
  }

  /** Returns the lowest epoch of an endpoint that this member accepts. */
  readonly getMinimumEpoch = (endpoint: EndpointId): number =>
    this.state.endpoints.get(endpoint)?.minimumEpoch ?? 0

  /** Counts the grants that this member holds. */
  countHeldGrants(): number {
    let held = 0
    for (const endpoint of this.state.endpoints.values()) held += endpoint.held.size
    return held
  }
}
