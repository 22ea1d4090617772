import {
  type Millis,
  type Rank,
  RANKS,
  type RawHeaders,
  type RequestMetadata,
  type Route,
  type ServiceName,
} from "@galenaway/core"

/** A caller's request that was read whole and has a route. */
export interface Call {
  readonly method: string
  /** Path and query as the caller sent them. */
  readonly path: string
  readonly headers: RawHeaders
  readonly body: Buffer
  readonly facts: RequestMetadata
  readonly route: Route
  readonly service: ServiceName
  readonly arrivedAt: Millis
  /** The caller or the route waits no longer. */
  readonly deadline: Millis
  /** Aborted when the caller has gone. */
  readonly callerGone: AbortSignal
}

/** Tells whether a call may be sent again after it may have run. */
export function isRepeatable({ route }: Call): boolean {
  switch (route.kind) {
    case "idempotent":
    case "resumable-stream":
      return true
    case "non-idempotent":
    case "stream":
      return false
  }
}

/** Tells whether a call's answer is an event stream. */
export function isStream({ route }: Call): boolean {
  switch (route.kind) {
    case "stream":
    case "resumable-stream":
      return true
    case "idempotent":
    case "non-idempotent":
      return false
  }
}

/** Tells whether a call misses its latency objective when an endpoint begins with it at `beginsAt`. An answer that has begun has met or missed it already, and goes on as fast as it can. */
export function isLateAt({ arrivedAt, route }: Call, beginsAt: Millis, hasBegun: boolean): boolean {
  return !hasBegun && beginsAt > arrivedAt + route.objectiveMs
}

/** Returns the rank under which a call is measured. */
export function getRank({ route }: Call): Rank {
  return RANKS[Math.min(RANKS.length - 1, Math.max(0, Math.floor(route.priority)))] ?? "bulk"
}

/** Returns how a call is named in logs. */
export function describeCall(call: Call): { request: string | undefined; route: string } {
  return { request: call.facts.attempt, route: call.route.name }
}
