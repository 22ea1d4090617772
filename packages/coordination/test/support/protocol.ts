import { formatAdapter } from "@galenaway/core"
import { canGrant, createOwner, updateMember, updateOwner } from "@galenaway/coordination"

export const ENDPOINT = "engine-0"
export const X = formatAdapter({ base: "reef-8b", adapter: "x", version: "v1" })

/** The transactions of the package. A broken variant replaces some of them. */
export interface Protocol {
  readonly canGrant: typeof canGrant
  readonly createOwner: typeof createOwner
  readonly updateMember: typeof updateMember
  readonly updateOwner: typeof updateOwner
}
export const PROTOCOL: Protocol = { canGrant, createOwner, updateMember, updateOwner }

/**
 * One step of a history. `message` selects a message by its index or by the start of its
 * label. `end` returns a grant, `read` reads the document, `report` reads the endpoint's
 * report, `retry` resends messages, `time-out` ends the wait for the replies to unload
 * orders, and `resolve` removes resolved predecessors from the document.
 */
export type SimulationStep =
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
      readonly instance: string
    }
  | { readonly kind: "restart" | "renew" | "resolve" }
