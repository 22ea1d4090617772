/** Retries that may still be made. It grows with first tries, so retries stay a share of the requests. */
export interface RetryBudget {
  /** Share of requests, 0 to 1, that may be retried. */
  share: number
  tokens: number
}

const BURST_COUNT = 10

/** Creates a budget that allows a few retries from the start. */
export function createRetryBudget(share: number): RetryBudget {
  return { share, tokens: share > 0 ? BURST_COUNT : 0 }
}

/** Counts a request's first try. */
export function recordFirstAttempt(budget: RetryBudget): void {
  budget.tokens = Math.min(BURST_COUNT, budget.tokens + budget.share)
}

/** Takes a retry out of the budget. Returns false, and takes nothing, when there is none left. */
export function acquireRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens--
  return true
}
