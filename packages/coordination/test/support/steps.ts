import { formatAdapter } from "@galenaway/core"
import { canGrant, createOwner, updateMember, updateOwner } from "@galenaway/coordination"

export const ENDPOINT = "engine-0"
export const X = formatAdapter({ base: "reef-8b", adapter: "x", version: "v1" })

/** The package's transactions; a broken variant replaces some of them. */
export interface Rules {
  readonly canGrant: typeof canGrant
  readonly createOwner: typeof createOwner
  readonly updateMember: typeof updateMember
  readonly updateOwner: typeof updateOwner
}
export const RULES: Rules = { canGrant, createOwner, updateMember, updateOwner }

/** One step of a history. `message` picks one by its place, or by its label. */
export type Step =
  | { readonly kind: "deliver" | "repeat" | "lose"; readonly message: number | string }
  | {
      readonly kind:
        | "grant"
        | "load"
        | "evict"
        | "end"
        | "read"
        | "retry"
        | "time-out"
        | "report"
        | "seal"
        | "suspect"
        | "recover"
        | "lose-member"
        | "join"
      readonly who: string
    }
  | { readonly kind: "restart" | "renew" | "resolve" }
