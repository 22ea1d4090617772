import { type ErrorCode, GalenawayError, type ErrorOutcome, type ErrorStep } from "@galenaway/core"

/** What each exit code of the tool says. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  refused: 2,
  unreachable: 3,
  unauthorized: 4,
  conflict: 5,
  lagging: 6,
  unknown: 7,
} as const

/** Why the tool ended. */
export type ExitReason = keyof typeof EXIT_CODES

/** The exit codes as the help shows them. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  failed for a reason that was not foreseen
  2  wrong usage, or the input was refused; nothing was changed
  3  no instance answered; nothing was changed
  4  the operators' key was refused; nothing was changed
  5  another change came first; nothing was changed
  6  accepted, but not yet in force on every live instance; the output names the others
  7  it is not known whether the change was accepted; look at "galenaway config history"
`

/** A failure of a command with the exit code that it leads to. */
export class CommandError extends GalenawayError {
  override readonly name = "CommandError"
  constructor(
    readonly reason: ExitReason,
    message: string,
    code: ErrorCode = "internal",
    step: ErrorStep = "operate",
    peer = "operator",
    outcome: ErrorOutcome = reason === "unknown" ? "unknown" : "not-run",
  ) {
    super(code, step, peer, outcome, message)
  }
}
