import { createHash } from "node:crypto"
import type { ClientAccount } from "@galenaway/core"

/** The SHA-256 hash of a key. */
type KeyHash = string

/**
 * The client accounts of one configuration by key. A lookup compares hashes only,
 * so its time says nothing about how much of a key is right.
 */
export class AccountTable {
  private readonly byKeyHash = new Map<KeyHash, ClientAccount>()

  constructor(private readonly accounts: readonly ClientAccount[]) {
    for (const account of accounts)
      for (const key of account.keys) this.byKeyHash.set(hashKey(key), account)
  }

  /** Finds the account of a key. */
  find(key: string): ClientAccount | undefined {
    return this.byKeyHash.get(hashKey(key))
  }

  /** Lists the accounts in the order of the configuration. */
  list(): readonly ClientAccount[] {
    return this.accounts
  }

  /** Returns this table if it has the same accounts, otherwise a new one. */
  replace(accounts: readonly ClientAccount[]): AccountTable {
    const isSame =
      accounts.length === this.accounts.length &&
      accounts.every((account, index) => isSameAccount(account, this.accounts[index]))
    return isSame ? this : new AccountTable(accounts)
  }
}

function hashKey(key: string): KeyHash {
  return createHash("sha256").update(key).digest("base64")
}

function isSameAccount(a: ClientAccount, b: ClientAccount | undefined): boolean {
  return (
    a.name === b?.name &&
    a.priority === b.priority &&
    a.keys.length === b.keys.length &&
    a.keys.every((key, index) => key === b.keys[index]) &&
    a.quota?.unit === b.quota?.unit &&
    a.quota?.ratePerS === b.quota?.ratePerS &&
    a.quota?.burst === b.quota?.burst &&
    a.quota?.plainTokens === b.quota?.plainTokens
  )
}
