import type { Clock, DataCentre, HeaderDialect, Registration, ServiceName } from "@galenaway/core"
import type { Metrics } from "@galenaway/observe"
import type {
  EndpointHealth,
  PlacementView,
  Popularity,
  Residency,
  RetryLimiter,
  VersionTable,
} from "@galenaway/routing"
import type { Directory } from "../catalogue/directory.js"
import type { Serving } from "../catalogue/serving.js"
import type { Links, UseTable } from "../links/index.js"
import type { RequestLog } from "../request-log.js"
import type { EndpointPools } from "./pools.js"

/** What forwarding needs. */
export interface ForwardParts {
  readonly home: DataCentre
  readonly serving: Serving
  readonly directory: Directory
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
  getAllowance(service: ServiceName): RetryLimiter
  /** Instances that share the retry limit. */
  countInstances(): number
  /** Builds the view that placements of a service are decided from. */
  buildView(service: ServiceName): PlacementView
  /** Whether connections should end after their answers. */
  isStopping(): boolean
  /** Connections that this instance may open to an endpoint. */
  countConnections(endpoint: Registration): number
}
