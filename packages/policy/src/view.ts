import type {
  AdapterKey,
  ByRank,
  EndpointInfo,
  EndpointPhase,
  Incarnation,
  Millis,
} from "@galenaway/core"

/**
 * The state of one engine as seen by this instance, in its own or another data
 * centre. The owner sends it with its heartbeats, so it lags behind the engine.
 */
export interface EndpointView {
  readonly info: EndpointInfo
  readonly phase: EndpointPhase
  /** Undefined while no incarnation owns the endpoint. */
  readonly owner: Incarnation | undefined
  /** Whether the owner answered recently, or the endpoint itself when it has no owner. */
  readonly isReachable: boolean
  readonly running: number
  readonly queued: ByRank<number>
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
  /** Time of the last update. */
  readonly seenAt: Millis
}
