import type { InstanceId, Millis, Registration } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import type { EndpointDirectory, EndpointLifetime } from "../catalogue/index.js"
import type { LeavingEndpoint } from "../generated/fleet.js"

/** The dependencies of {@link LeavingReports}. */
export interface LeavingReportsDependencies {
  readonly directory: EndpointDirectory
  readonly log: Log
  /** Sends leaving endpoints to the instances that collect reports. */
  send(leaving: readonly LeavingEndpoint[]): void
  /** Sends leaving endpoints to the instances that follow this one. */
  publish(leaving: readonly LeavingEndpoint[]): void
  /** Returns whether this instance collects reports. */
  isCollector(): boolean
}

/** A new follower receives the endpoints that began to leave within this time. The others have ended or are leaving in the store. */
const RECENT_MS = 60_000

/**
 * Spreads which endpoints are leaving. An instance that finds out from an answer
 * sends it to the collectors once, and each collector publishes it to its followers
 * once, so the number of messages is linear in the number of instances.
 */
export class LeavingReports {
  constructor(private readonly deps: LeavingReportsDependencies) {}

  /** Handles an answer in which an endpoint states that it is leaving. `endpoint` is the registration that the request was sent to. */
  onAnswer(endpoint: Registration): void {
    const { directory, log } = this.deps
    if (!directory.addLeaving(endpoint)) return
    const { id, startedAt } = endpoint
    log.info({ endpoint: id, startedAt }, "endpoint is leaving, found in its answer")
    const messages = [formatLeaving(endpoint)]
    this.deps.send(messages)
    if (this.deps.isCollector()) this.deps.publish(messages)
  }

  /** Handles the leaving endpoints that a follower of this instance reports. */
  onReport(peer: InstanceId, leaving: readonly LeavingEndpoint[]): void {
    const changed = this.addAll(peer, leaving)
    if (changed.length > 0) this.deps.publish(changed)
  }

  /** Handles the leaving endpoints that an owner publishes. */
  onPublished(peer: InstanceId, leaving: readonly LeavingEndpoint[]): void {
    this.addAll(peer, leaving)
  }

  /** Lists the endpoints that have begun to leave recently, for a new follower. */
  listRecent(): readonly LeavingEndpoint[] {
    return this.deps.directory.listLeaving(RECENT_MS).map(formatLeaving)
  }

  /** Records the endpoints and returns those that weren't known to be leaving. */
  private addAll(
    peer: InstanceId,
    leaving: readonly LeavingEndpoint[],
  ): readonly LeavingEndpoint[] {
    const { directory, log } = this.deps
    return leaving.filter((message) => {
      const isNew = directory.addLeaving(parseLeaving(message))
      if (isNew) log.info({ endpoint: message.endpoint, peer }, "endpoint is leaving, sent by peer")
      return isNew
    })
  }
}

const UNKNOWN_START: Millis = 0

function formatLeaving({ id, startedAt }: EndpointLifetime): LeavingEndpoint {
  return { endpoint: id, startedAt: startedAt ?? UNKNOWN_START }
}

function parseLeaving({ endpoint: id, startedAt }: LeavingEndpoint): EndpointLifetime {
  return startedAt === UNKNOWN_START ? { id } : { id, startedAt }
}
