import type { AccountName, ClientAccount } from "@galenaway/core"

/** Weight of every account while no account has a quota in tokens. */
const EQUAL_WEIGHT = 1

/**
 * The weights by which capacity that isn't enough for all is divided among accounts:
 * their quotas in tokens a second. Accounts without such a quota have the mean weight.
 */
export class AccountWeights {
  private readonly weights = new Map<AccountName, number>()
  private meanWeight = EQUAL_WEIGHT

  /** Replaces the weights by those of the accounts in force. */
  setAccounts(accounts: readonly ClientAccount[]): void {
    this.weights.clear()
    let sum = 0
    for (const { name, quota } of accounts) {
      if (quota?.unit !== "tokens") continue
      this.weights.set(name, quota.ratePerS)
      sum += quota.ratePerS
    }
    this.meanWeight = this.weights.size === 0 ? EQUAL_WEIGHT : sum / this.weights.size
  }

  /** Returns the weight of an account, or of the requests without one. */
  get(account: AccountName | undefined): number {
    return (account === undefined ? undefined : this.weights.get(account)) ?? this.meanWeight
  }
}
