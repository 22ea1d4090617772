import type { App } from "@tinyhttp/app"
import type { AccountName, AccountQuota, ClientAccount } from "@galenaway/core"
import type { AccountCounts, KeyRefusalCounts } from "../accounts/index.js"
import type { QuotaUse } from "../quota/index.js"

/** A client account as operators see it. Its keys are counted only. */
export interface AccountReport extends AccountCounts {
  readonly name: AccountName
  readonly keyCount: number
  readonly priority?: number
  readonly quota?: AccountQuota
  /** Absent without a quota. */
  readonly use?: QuotaUse
}

/** The client accounts of an instance, for operators. Counts are those of the instance. */
export interface AccountsReply {
  /** False if the configuration in force has no accounts, so that callers need no key. */
  readonly isKeyNeeded: boolean
  readonly accounts: readonly AccountReport[]
  /** Requests without a valid key, by cause. */
  readonly keyRefusals: KeyRefusalCounts
}

/** What operators may see of the client accounts. */
export interface AccountsSource {
  readonly hasAccounts: boolean
  listAccounts(): readonly ClientAccount[]
  getCounts(name: AccountName): AccountCounts
  getKeyRefusals(): KeyRefusalCounts
  /** Creates a function that describes the use of an account's quota now. */
  createUseLookup(): (name: AccountName) => QuotaUse
}

/** Registers the operators' interface of the accounts: `GET /v1/accounts`. */
export function registerAccountRoutes(app: App, source: AccountsSource): void {
  app.get("/v1/accounts", (_request, response) => {
    const findUse = source.createUseLookup()
    const reply: AccountsReply = {
      isKeyNeeded: source.hasAccounts,
      accounts: source.listAccounts().map((account) => buildReport(account, source, findUse)),
      keyRefusals: source.getKeyRefusals(),
    }
    response.json(reply)
  })
}

function buildReport(
  { name, keys, priority, quota }: ClientAccount,
  source: AccountsSource,
  findUse: (name: AccountName) => QuotaUse,
): AccountReport {
  return {
    name,
    keyCount: keys.length,
    ...(priority !== undefined && { priority }),
    ...(quota && { quota, use: findUse(name) }),
    ...source.getCounts(name),
  }
}
