import type {
  AdapterKey,
  ByRank,
  EndpointInfo,
  EndpointPhase,
  Incarnation,
  Millis,
} from "@galenaway/core"

/**
 * What an instance knows of one engine, of its own or another data centre.
 * The owner passes it on with its heartbeats, so it is a little late.
 */
export interface EndpointView {
  readonly info: EndpointInfo
  readonly phase: EndpointPhase
  /** Undefined while no incarnation owns the endpoint. */
  readonly owner: Incarnation | undefined
  /** Whether the owner, or the endpoint itself when it has no owner, answered lately. */
  readonly isReachable: boolean
  readonly running: number
  readonly queued: ByRank<number>
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
  readonly seenAt: Millis
}
