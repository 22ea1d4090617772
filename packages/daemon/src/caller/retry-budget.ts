const RETRY_SHARE = 0.1
const MAX_TOKENS = 10

/** Limits retries to a tenth of the requests, and to a few at once. */
export class RetryBudget {
  private tokens = MAX_TOKENS

  /** Counts a new request. */
  recordRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + RETRY_SHARE)
  }

  /** Takes one retry out of the budget. Returns false when it is spent. */
  acquire(): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
