import type { ServiceName } from "@galenaway/core"
import { PaceEstimator } from "@galenaway/policy"

/** The learned pace of the engines of each service. */
export class PaceTable {
  private readonly estimators = new Map<ServiceName, PaceEstimator>()

  /** Returns the estimator of a service. */
  get(service: ServiceName): PaceEstimator {
    let estimator = this.estimators.get(service)
    if (!estimator) {
      estimator = new PaceEstimator()
      this.estimators.set(service, estimator)
    }
    return estimator
  }
}
