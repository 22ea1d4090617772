import type {
  ChangeRecord,
  Configuration,
  ConfigurationIssue,
  Drain,
  SettingDecision,
} from "@galenaway/config"
import type { DataCentre, InstanceId, Rank } from "@galenaway/core"
import type { TimelineEvent } from "@galenaway/observe"
import type { ErrorBody } from "../caller/errors.js"
import type {
  AdapterStatus,
  EndpointStatus,
  InstanceRevision,
  InstanceStatus,
  Problem,
  RouteCandidate,
} from "./ports.js"

/** Answer of `GET /v1/status`. */
export interface StatusReply {
  readonly instance: InstanceId
  readonly revision: number
  readonly instances: readonly InstanceStatus[]
  readonly endpoints: readonly EndpointStatus[]
  readonly adapters: readonly AdapterStatus[]
  readonly problems: readonly Problem[]
}

/** Answer of `GET /v1/configuration`: the configuration in force on the instance that answers. */
export interface ConfigurationReply {
  readonly instance: InstanceId
  readonly revision: number
  readonly configuration: Configuration
  readonly history: readonly ChangeRecord[]
}

/** Body of `POST /v1/configuration`. The configuration contains the revision that was edited. */
export interface ChangeRequest {
  /** Identifies the change. A retry must send the same id. */
  readonly id: string
  readonly author: string
  readonly reason: string
  readonly configuration: unknown
}

/** Body of `POST /v1/drain` and `POST /v1/undrain`. */
export interface DrainRequest extends Pick<Drain, "kind" | "reason" | "author"> {
  /** Identifies the change. A retry must send the same id. */
  readonly id: string
  readonly target: string
}

/** Answer of `GET /v1/configuration/in-force`. */
export interface InForceReply {
  readonly revision: number
  readonly instances: readonly InstanceRevision[]
}

/** Answer of `GET /v1/explain`. */
export interface ExplainReply {
  readonly model: string
  readonly rank: Rank
  /** The data centre of the instance that answers, from which the request would be routed. */
  readonly dataCentre: DataCentre
  readonly revision: number
  readonly candidates: readonly RouteCandidate[]
  readonly decisions: readonly SettingDecision[]
}

/** Answer of `GET /v1/events`. */
export interface EventsReply {
  readonly instance: InstanceId
  readonly events: readonly TimelineEvent[]
}

/** Body of an error that is sent to an operator. For a refused configuration it lists all issues. */
export interface OperatorErrorBody extends ErrorBody {
  readonly issues?: readonly ConfigurationIssue[]
}
