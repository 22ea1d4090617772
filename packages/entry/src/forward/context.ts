import type { Clock, DataCentre, HeaderDialect, Registration, ServiceName } from "@galenaway/core"
import type { Metrics } from "@galenaway/observe"
import type {
  EndpointHealth,
  PlacementView,
  Popularity,
  Residency,
  RetryAllowance,
  VersionTable,
} from "@galenaway/routing"
import type { EndpointDirectory } from "../catalogue/directory.js"
import type { OperatorCatalogue } from "../catalogue/operator-catalogue.js"
import type { Links, UseTable } from "../links/index.js"
import type { RequestLog } from "../request-log.js"
import type { EndpointPools } from "./pools.js"

/** What forwarding needs. */
export interface ForwardContext {
  readonly home: DataCentre
  readonly catalogue: OperatorCatalogue
  readonly directory: EndpointDirectory
  readonly dialect: HeaderDialect
  readonly pools: EndpointPools
  readonly health: EndpointHealth
  readonly residency: Residency
  readonly versions: VersionTable
  readonly popularity: Popularity
  readonly links: Links
  readonly uses: UseTable
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: RequestLog
  /** Returns the part of the fleet's retry limit for a service. */
  getRetryBudget(service: ServiceName): RetryAllowance
  /** Instances that share the retry limit. */
  countInstances(): number
  /** Builds the view that placements of a service are decided from. */
  buildPlacementView(service: ServiceName): PlacementView
  /** Whether connections should end after their answers. */
  isStopping(): boolean
  /** Connections that this instance may open to an endpoint. */
  computeConnectionLimit(endpoint: Registration): number
}
