/** The step of a request's processing in which an error occurred. */
export type ErrorStep =
  | "parse"
  | "admit"
  | "route"
  | "grant"
  | "queue"
  | "load"
  | "evict"
  | "claim"
  | "send"
  | "stream"
  | "resume"
  | "forward"
  | "platform"
  | "peer"
  | "config"
  | "operate"
  | "shutdown"

/**
 * Whether a failed request may have run. `not-run` guarantees that no
 * endpoint has run or will run it; `unknown` means that it may have run.
 */
export type ErrorOutcome = "not-run" | "unknown"

/** The machine-readable reason of a failure. */
export type ErrorCode =
  | "bad-request"
  | "unauthorized"
  | "not-found"
  | "too-large"
  | "overloaded"
  | "quota-exceeded"
  | "deadline"
  | "load-failed"
  | "no-endpoint"
  | "no-owner"
  | "quarantined"
  | "shutting-down"
  | "conflict"
  | "in-progress"
  | "canceled"
  | "endpoint-failed"
  | "wrong-answer"
  | "platform-down"
  | "peer-down"
  | "internal"

/** An error with its code, the step and the peer at which it occurred, and whether the request may have run. */
export class GalenawayError extends Error {
  override readonly name: string = "GalenawayError"
  constructor(
    readonly code: ErrorCode,
    readonly step: ErrorStep,
    readonly peer: string,
    readonly outcome: ErrorOutcome,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options)
  }
}

/** A refusal. Its outcome is always `not-run`. */
export class RefusedError extends GalenawayError {
  override readonly name = "RefusedError"
  constructor(
    code: ErrorCode,
    step: ErrorStep,
    peer: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(code, step, peer, "not-run", message, options)
  }
}

/** A refusal by an endpoint that wants nothing from this instance for a time. */
export class EndpointPausedError extends GalenawayError {
  override readonly name = "EndpointPausedError"
  constructor(
    step: ErrorStep,
    peer: string,
    /** Time for which the endpoint wants nothing, in ms. */
    readonly retryAfterMs: number,
  ) {
    super("endpoint-failed", step, peer, "not-run", "the endpoint asked for a pause")
  }
}

/** A failure after a byte may have been sent. Its outcome is always `unknown`. */
export class UnknownOutcomeError extends GalenawayError {
  override readonly name = "UnknownOutcomeError"
  constructor(
    code: ErrorCode,
    step: ErrorStep,
    peer: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(code, step, peer, "unknown", message, options)
  }
}

/** The platform did not answer, or refused a call. A write that failed this way may still have taken effect. */
export class PlatformError extends GalenawayError {
  override readonly name = "PlatformError"
  constructor(peer: string, message: string, options?: ErrorOptions) {
    super("platform-down", "platform", peer, "unknown", message, options)
  }
}

/** Returns the message of an Error, or any other thrown value as a string. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
