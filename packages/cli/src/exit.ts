import { type ErrorCode, GalenawayError, type ErrorOutcome, type ErrorStep } from "@galenaway/core"

/** The exit code of the tool for each reason. {@link EXIT_CODE_HELP} explains them. */
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

/** The reason why the tool ended. */
export type ExitReason = keyof typeof EXIT_CODES

/** The explanation of the exit codes in the help text. */
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

/**
 * The failure of a command. Its reason determines the exit code. By default, the
 * outcome is `unknown` for the reason `unknown`, and `not-run` for all others.
 */
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
