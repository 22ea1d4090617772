import type { ClientAccount } from "@galenaway/core"
import { AccountTable, Authorizer } from "@galenaway/entry"
import { platformFormat } from "@galenaway/platform"

/** Measures the client accounts of a configuration: decoding, the table by key, and a lookup. Run with --expose-gc. */
const ACCOUNT_COUNTS = [16, 1000, 10_000]
const KEYS_PER_ACCOUNT = 2
const ROUND_COUNT = 9
const LOOKUP_COUNT = 100_000
const US_PER_MS = 1000
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
}
const ROUTE = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "idempotent",
  targets: [],
  maxAttempts: 1,
  timeoutMs: 1000,
  objectiveMs: 100,
  priority: 0,
} as const

for (const count of ACCOUNT_COUNTS) measureAccounts(count)

function measureAccounts(count: number): void {
  const value = buildConfiguration(count)
  const decodeMs = measureMs(() => decode(value))
  const accounts = decode(value)
  const buildMs = measureMs(() => new AccountTable(accounts))
  const before = measureHeap()
  const decoded = decode(value)
  const withAccounts = measureHeap()
  const table = new AccountTable(decoded)
  const withTable = measureHeap()
  const replaceMs = measureMs(() => table.replace(accounts))
  print(`${count} accounts`, `${value.length} bytes of configuration`)
  print("  decoding", `${decodeMs.toFixed(1)} ms`)
  print("  the table", `${buildMs.toFixed(1)} ms`)
  print("  finding that nothing has changed", `${replaceMs.toFixed(2)} ms`)
  print("  heap of the accounts", `${Math.round((withAccounts - before) / count)} bytes each`)
  print("  heap of the table", `${Math.round((withTable - withAccounts) / count)} bytes each`)
  print("  authorizing a request", `${measureLookupUs(accounts).toFixed(2)} µs`)
}

function measureLookupUs(accounts: readonly ClientAccount[]): number {
  const authorizer = new Authorizer()
  authorizer.applyConfiguration({ accounts })
  const lookupMs = measureMs(() => {
    for (let index = 0; index < LOOKUP_COUNT; index++)
      authorizer.authorize(ROUTE, { kind: "key", key: createKey(index % accounts.length, 0) })
  })
  return (lookupMs * US_PER_MS) / LOOKUP_COUNT
}

function buildConfiguration(count: number): Buffer {
  const tenants = Array.from({ length: count }, (_, account) => ({
    name: `account${account}`,
    api_keys: Array.from({ length: KEYS_PER_ACCOUNT }, (_, index) => createKey(account, index)),
    priority: account % 3,
    unit: "tokens",
    plain_tokens: 200,
    rate_per_s: 373_220,
    burst: 373_220,
  }))
  const configuration = { version: 1, routes: [], services: [], limits: LIMITS, tenants }
  return Buffer.from(JSON.stringify(configuration))
}

function createKey(account: number, index: number): string {
  return `k${index}-${account.toString(36).padStart(17, "0")}`
}

function decode(value: Buffer): readonly ClientAccount[] {
  const entry = platformFormat.readOperatorItem({ key: "op/config", value, revision: 1 })
  return entry.kind === "configuration" ? (entry.configuration.accounts ?? []) : []
}

/** Returns the median time of a run in ms. */
function measureMs(run: () => unknown): number {
  const times = Array.from({ length: ROUND_COUNT }, () => {
    const startedAt = performance.now()
    run()
    return performance.now() - startedAt
  })
  return times.sort((a, b) => a - b)[Math.floor(ROUND_COUNT / 2)] ?? 0
}

function measureHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function print(name: string, value: string): void {
  process.stdout.write(`${name.padEnd(40)}${value}\n`)
}
