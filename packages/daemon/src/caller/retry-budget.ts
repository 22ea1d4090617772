/** Tokens that each request adds. One retry takes one token. */
const RETRY_SHARE = 0.1
const MAX_TOKEN_COUNT = 10

/** Token bucket that limits retries to a tenth of the requests, and bursts to `MAX_TOKEN_COUNT`. */
export class RetryBudget {
  private tokens = MAX_TOKEN_COUNT

  /** Records a new request, which adds to the budget. */
  recordRequest(): void {
    this.tokens = Math.min(MAX_TOKEN_COUNT, this.tokens + RETRY_SHARE)
  }

  /** Takes one retry out of the budget. Returns false when none is left. */
  acquire(): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
