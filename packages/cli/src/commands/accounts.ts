import type { AccountQuota } from "@galenaway/core"
import type { AccountReport, AccountsReply, QuotaUse } from "@galenaway/entry"
import { type CommandContext, printResult } from "../context.js"
import { formatTable } from "../table.js"

type Counts = Readonly<Record<string, number>>

/** Prints the client accounts with the requests and refusals of all entry instances that answer. */
export async function runAccounts(context: CommandContext): Promise<void> {
  const { answers, failures } = await context.client.readAll<AccountsReply>("/v1/accounts")
  for (const failure of failures) context.shell.printError(`${failure}\n`)
  const total = answers.reduce(mergeReplies)
  printResult(context, total, () => formatAccounts(total))
}

/** Adds the counts of two instances. Where these differ in the configuration, that of the first applies. */
function mergeReplies(a: AccountsReply, b: AccountsReply): AccountsReply {
  const others = new Map(b.accounts.map((account) => [account.name, account]))
  const accounts = a.accounts.map((account) => {
    const other = others.get(account.name)
    others.delete(account.name)
    return other ? mergeAccounts(account, other) : account
  })
  const keyRefusals = addCounts(a.keyRefusals, b.keyRefusals) as AccountsReply["keyRefusals"]
  return { isKeyNeeded: a.isKeyNeeded, accounts: [...accounts, ...others.values()], keyRefusals }
}

function mergeAccounts(a: AccountReport, b: AccountReport): AccountReport {
  return {
    ...a,
    requests: a.requests + b.requests,
    tokens: a.tokens + b.tokens,
    refusals: addCounts(a.refusals, b.refusals),
    ...((a.use ?? b.use) && { use: mergeUses(a.use, b.use) }),
  }
}

/** Keeps the state at the instance that allocates the quota, which covers all instances. */
function mergeUses(a: QuotaUse | undefined, b: QuotaUse | undefined): QuotaUse {
  const allocation = a?.allocation ?? b?.allocation
  return allocation ? { allocation } : {}
}

function addCounts(a: Counts, b: Counts): Counts {
  const sum = { ...a }
  for (const [key, count] of Object.entries(b)) sum[key] = (sum[key] ?? 0) + count
  return sum
}

function formatAccounts({ isKeyNeeded, accounts, keyRefusals }: AccountsReply): string {
  const rows = accounts.map(
    ({ name, keyCount, priority, quota, use, requests, tokens, refusals }) => [
      name,
      keyCount,
      priority ?? "-",
      formatQuota(quota),
      formatDemand(quota, use),
      requests,
      tokens,
      formatCounts(refusals),
    ],
  )
  const columns = [
    "ACCOUNT",
    "KEYS",
    "PRIORITY",
    "QUOTA",
    "DEMAND",
    "REQUESTS",
    "TOKENS",
    "REFUSED",
  ]
  return [
    isKeyNeeded ? "" : "the configuration has no accounts, callers need no key\n",
    formatTable("Accounts", columns, rows),
    `Requests without a valid key: ${formatCounts(keyRefusals)}\n`,
  ].join("")
}

function formatQuota(quota: AccountQuota | undefined): string {
  return quota ? `${quota.ratePerS} ${quota.unit}/s + ${quota.burst}` : "-"
}

/** Formats what requests at all instances ask for, as a percentage of the quota's rate. */
function formatDemand(quota: AccountQuota | undefined, use: QuotaUse | undefined): string {
  if (!quota) return "-"
  return `${Math.round((100 * (use?.allocation?.demandPerS ?? 0)) / quota.ratePerS)}%`
}

function formatCounts(counts: Counts): string {
  const parts = Object.entries(counts).map(([key, count]) => `${key} ${count}`)
  return parts.length > 0 ? parts.join(", ") : "-"
}
