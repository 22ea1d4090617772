/** Token bucket for retries. Each first attempt adds `share` tokens, so retries stay a share of the requests. */
export interface RetryBudget {
  /** Maximum retries as a share of the requests, 0 to 1. */
  share: number
  tokens: number
}

/** Maximum number of retries that the budget accumulates. */
const BURST_COUNT = 10

/** Creates a full budget, so that retries are possible from the start unless the share is 0. */
export function createRetryBudget(share: number): RetryBudget {
  return { share, tokens: share > 0 ? BURST_COUNT : 0 }
}

/** Records the first attempt of a request. */
export function recordFirstAttempt(budget: RetryBudget): void {
  budget.tokens = Math.min(BURST_COUNT, budget.tokens + budget.share)
}

/** Takes one retry from the budget. Returns false and changes nothing when none is left. */
export function acquireRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens--
  return true
}
