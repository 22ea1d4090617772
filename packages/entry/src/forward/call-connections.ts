import type { Registration } from "@galenaway/core"
import { type Call, isRetryable, isStream } from "./call.js"
import type { ConnectionUse } from "./pools.js"

/**
 * Chooses the connections of one call, so that each answer belongs to one send of
 * it. An endpoint may write an answer twice; the copy arrives where the answer to
 * the next request on the connection is expected. The request id separates the answers
 * of different calls apart, but all sends of a call have the same one.
 */
export class CallConnections {
  private readonly addresses = new Set<string>()

  constructor(private readonly call: Call) {}

  /** Chooses the connections for the next send. A connection that may have carried an answer to this call isn't used again. */
  choose({ address }: Registration): ConnectionUse {
    const { call } = this
    const isRepeated = this.addresses.has(address)
    this.addresses.add(address)
    const canShare = isRetryable(call) || isStream(call)
    return canShare && !isRepeated ? "shared" : "single"
  }
}
