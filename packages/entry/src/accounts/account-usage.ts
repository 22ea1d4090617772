import type { AccountName, ClientAccount, ErrorCode } from "@galenaway/core"
import { formatExposition, type MetricFamily, type MetricSample } from "@galenaway/observe"
import type { KeyRefusalCause } from "./authorizer.js"

/** What the requests of an account amount to since the start of the instance or the addition of the account. */
export interface AccountCounts {
  readonly requests: number
  /** Prompt and output tokens that the requests stated. */
  readonly tokens: number
  /** Requests that were refused without being run, by the code of the answer. */
  readonly refusals: Readonly<Partial<Record<ErrorCode, number>>>
}

/** Counts of requests without a valid key, by cause. */
export type KeyRefusalCounts = Readonly<Record<KeyRefusalCause, number>>

interface CountsEntry {
  /** Whether the account has metrics of its own. */
  readonly isListed: boolean
  requests: number
  tokens: number
  readonly refusals: Map<ErrorCode, number>
}

/** Number of accounts with metrics of their own. Those of all others are summed under an empty name. */
const MAX_LISTED_COUNT = 100
const NO_COUNTS: AccountCounts = { requests: 0, tokens: 0, refusals: {} }

/**
 * Counts the requests of client accounts. There are counts only for accounts of the
 * configuration in force that have sent a request, and metrics only for the first of
 * these, so the memory and the metrics don't grow with what callers send.
 */
export class AccountUsage {
  private readonly entries = new Map<AccountName, CountsEntry>()
  /** The counts of accounts without metrics of their own, including removed ones. */
  private readonly others = createEntry(false)
  private readonly keyRefusals: Record<KeyRefusalCause, number> = {
    missing: 0,
    invalid: 0,
    unknown: 0,
  }
  private listedCount = 0

  /** Removes the counts of accounts that the configuration no longer has. */
  removeUnlisted(accounts: readonly ClientAccount[]): void {
    const names = new Set(accounts.map(({ name }) => name))
    for (const [name, { isListed }] of this.entries) {
      if (names.has(name)) continue
      this.entries.delete(name)
      if (isListed) this.listedCount--
    }
  }

  /** Counts a request that has a valid key. */
  onRequest(name: AccountName, tokens: number): void {
    for (const entry of this.listEntries(name)) {
      entry.requests++
      entry.tokens += tokens
    }
  }

  /** Counts a request of an account that was refused without being run. */
  onRefused(name: AccountName, code: ErrorCode): void {
    for (const { refusals } of this.listEntries(name))
      refusals.set(code, (refusals.get(code) ?? 0) + 1)
  }

  /** Counts a request without a valid key. */
  onKeyRefused(cause: KeyRefusalCause): void {
    this.keyRefusals[cause]++
  }

  /** Returns the counts of an account. */
  getCounts(name: AccountName): AccountCounts {
    const entry = this.entries.get(name)
    if (!entry) return NO_COUNTS
    const { requests, tokens, refusals } = entry
    return { requests, tokens, refusals: Object.fromEntries(refusals) }
  }

  /** Returns the counts of requests without a valid key. */
  getKeyRefusals(): KeyRefusalCounts {
    return { ...this.keyRefusals }
  }

  /** Formats the counts in the Prometheus text exposition format. */
  formatMetrics(): string {
    const listed = [...this.entries].filter(([, { isListed }]) => isListed)
    const shown: readonly [AccountName, CountsEntry][] = [...listed, ["", this.others]]
    const keyRefusals = Object.entries(this.keyRefusals).map(([cause, value]) => ({
      labels: [{ name: "cause", value: cause }],
      value,
    }))
    return formatExposition([
      createCounter("key_refusals", "Requests without a valid key.", keyRefusals),
      createCounter(
        "account_requests",
        "Requests of client accounts.",
        shown.map(([name, { requests }]) => createSample(name, requests)),
      ),
      createCounter(
        "account_tokens",
        "Tokens that the requests of client accounts stated.",
        shown.map(([name, { tokens }]) => createSample(name, tokens)),
      ),
      createCounter(
        "account_refusals",
        "Requests of client accounts refused without being run.",
        shown.flatMap(([name, { refusals }]) =>
          [...refusals].map(([code, value]) => createSample(name, value, code)),
        ),
      ),
    ])
  }

  /** Lists the entries in which a request of an account is counted. */
  private listEntries(name: AccountName): readonly CountsEntry[] {
    const entry = this.entries.get(name) ?? this.addEntry(name)
    return entry.isListed ? [entry] : [entry, this.others]
  }

  private addEntry(name: AccountName): CountsEntry {
    const isListed = this.listedCount < MAX_LISTED_COUNT
    if (isListed) this.listedCount++
    const entry = createEntry(isListed)
    this.entries.set(name, entry)
    return entry
  }
}

function createEntry(isListed: boolean): CountsEntry {
  return { isListed, requests: 0, tokens: 0, refusals: new Map() }
}

function createCounter(name: string, help: string, samples: readonly MetricSample[]): MetricFamily {
  return { name: `galenaway_${name}_total`, help, type: "counter", samples }
}

function createSample(account: AccountName, value: number, code?: ErrorCode): MetricSample {
  const labels = [{ name: "account", value: account }]
  return { labels: code === undefined ? labels : [...labels, { name: "code", value: code }], value }
}
