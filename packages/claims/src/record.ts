/** The recorded answer of a call that ran. */
export interface RecordedAnswer {
  readonly status: number
  readonly body: string
}

/** What the platform's service keeps of a call under its idempotency key. */
export type ClaimRecord =
  | {
      readonly state: "claimed"
      /** The claim's own id, by which its author recognises it after a lost reply. */
      readonly id: string
      readonly author: string
    }
  | { readonly state: "done"; readonly id: string; readonly answer: RecordedAnswer }
