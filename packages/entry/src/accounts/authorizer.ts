import type { CallerCredentials, ClientAccount, Route, ServingConfiguration } from "@galenaway/core"
import { AccountTable } from "./account-table.js"

/** Why a request has no valid key. An `unknown` key belongs to no account. */
export type KeyRefusalCause = "missing" | "invalid" | "unknown"

/** Whether a request may be served. */
export type Authorization =
  /** `account` is undefined if the route needs none. */
  | { readonly kind: "granted"; readonly account?: ClientAccount }
  /** The reason contains nothing of the credentials. */
  | { readonly kind: "refused"; readonly cause: KeyRefusalCause; readonly reason: string }

const NO_CREDENTIALS: CallerCredentials = { kind: "none" }

/** Decides from the configuration in force which requests may be served, and for which client account. */
export class Authorizer {
  private table: AccountTable | undefined

  /** Puts the accounts of a configuration in force. */
  applyConfiguration({ accounts }: Pick<ServingConfiguration, "accounts">): void {
    this.table = accounts && (this.table?.replace(accounts) ?? new AccountTable(accounts))
  }

  /** Whether the configuration in force has client accounts. */
  get hasAccounts(): boolean {
    return this.table !== undefined
  }

  /** Lists the accounts in force. */
  listAccounts(): readonly ClientAccount[] {
    return this.table?.list() ?? []
  }

  /** Decides about the request of a caller. */
  authorize(route: Route, credentials: CallerCredentials = NO_CREDENTIALS): Authorization {
    if (!this.table || route.isPublic) return { kind: "granted" }
    switch (credentials.kind) {
      case "none":
        return { kind: "refused", cause: "missing", reason: "the request has no key" }
      case "invalid":
        return { kind: "refused", cause: "invalid", reason: credentials.reason }
      case "key": {
        const account = this.table.find(credentials.key)
        return account
          ? { kind: "granted", account }
          : { kind: "refused", cause: "unknown", reason: "the key belongs to no account" }
      }
    }
  }

  /** Returns whether the key with which a request was granted no longer belongs to its account. */
  isRevoked(account: ClientAccount, credentials: CallerCredentials): boolean {
    if (!this.table || credentials.kind !== "key") return false
    return this.table.find(credentials.key)?.name !== account.name
  }
}
