import type {
  Clock,
  DataCentre,
  EndpointId,
  HeaderCodec,
  Millis,
  Registration,
  ServiceName,
} from "@galenaway/core"
import type { IngressGuard } from "@galenaway/ingress"
import type { Metrics } from "@galenaway/observe"
import type {
  CostEstimator,
  EndpointHealth,
  PaceTable,
  PlacementView,
  PlacementCostTable,
  Popularity,
  Residency,
  RetryLimiter,
  VersionTable,
} from "@galenaway/routing"
import type { AccountUsage, Authorizer } from "../accounts/index.js"
import type { EndpointDirectory } from "../catalogue/directory.js"
import type { OperatorCatalogue } from "../catalogue/operator-catalogue.js"
import type { InstanceMonitor } from "../load/index.js"
import type { PeerLinks, AdapterUseTable } from "../links/index.js"
import type { PartGuard } from "../quarantine/index.js"
import type { QuotaGate } from "../quota/index.js"
import type { RequestLog } from "../request-log.js"
import type { StopSchedule } from "../stop-schedule.js"
import type { EndpointPools } from "./pools.js"

/** The dependencies of the modules that forward calls. */
export interface ForwardContext {
  /** Data centre of this instance. */
  readonly localDataCentre: DataCentre
  readonly catalogue: OperatorCatalogue
  readonly directory: EndpointDirectory
  readonly headerCodec: HeaderCodec
  readonly authorizer: Authorizer
  readonly accountUsage: AccountUsage
  /** Reads and discards the bodies of requests. */
  readonly ingress: IngressGuard
  readonly pools: EndpointPools
  readonly health: EndpointHealth
  readonly paces: PaceTable
  readonly costs: CostEstimator
  readonly placementCosts: PlacementCostTable
  readonly residency: Residency
  readonly versions: VersionTable
  readonly popularity: Popularity
  /** Keeps requests with a part that ends engines away from them. */
  readonly guard: PartGuard
  readonly links: PeerLinks
  /** The requests of this instance that use each adapter. */
  readonly uses: AdapterUseTable
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: RequestLog
  /** Handles an answer in which the endpoint that a request was sent to states that it is leaving. */
  onLeaving(endpoint: Registration): void
  /** Handles a refusal in which an endpoint asks this instance to send nothing for a time. */
  onPause(endpoint: EndpointId, ms: Millis): void
  /** Returns the retry budget of this instance for a service. */
  getRetryBudget(service: ServiceName): RetryLimiter
  /** Returns the number of instances that share the fleet's retry budget, at least 1. */
  countInstances(): number
  /** Builds the view from which placements of a service are chosen. */
  buildPlacementView(service: ServiceName): PlacementView
  /** Decides which requests are within their accounts' quotas. */
  readonly quotas: QuotaGate
  /** Decides which requests are taken and sent while the instance stops. */
  readonly stop: StopSchedule
  /** Measures the delay that this instance itself adds; undefined if it isn't measured. */
  readonly monitor?: Pick<InstanceMonitor, "isMovingCallers" | "isTooSlowFor"> | undefined
  /** Returns how many connections this instance may open to an endpoint. */
  computeConnectionLimit(endpoint: Registration): number
}
