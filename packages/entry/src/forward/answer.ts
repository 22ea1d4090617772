import type { AdapterVersion, Millis, RawHeaders, Registration } from "@galenaway/core"

/** Why an endpoint didn't run a request and will not run it. */
export type NotRunCause =
  /** The endpoint refused the request because it is at capacity. */
  | "full"
  /** The endpoint doesn't hold the model, the adapter or the version. */
  | "missing"
  /** Another endpoint answered at the registered address. */
  | "moved"
  /** The endpoint asked for a pause while the request waited for a connection. */
  | "paused"
  /** The endpoint left while the request waited for a connection. */
  | "left"
  /** The key of the caller was revoked while the request waited for a connection. */
  | "revoked"
  /** No connection could be opened. */
  | "unreachable"

/** An answer of an endpoint that was received to its end. */
export interface CompleteAnswer {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
}

/** Why an attempt that an endpoint may have run has no complete answer. */
export type FailureCause =
  | "broken"
  | "silent"
  | "wrong-answer"
  /** The version of the adapter became too old before the answer began. */
  | "outdated"
  /** A part of the request was quarantined before the answer had begun. */
  | "quarantined"

/** How an attempt ended. Kinds and causes are logged. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly answer: CompleteAnswer }
  /** The answer was passed on to the caller to its end. */
  | { readonly kind: "streamed" }
  | { readonly kind: "not-run"; readonly cause: NotRunCause }
  /** The request may have run, and no complete answer was received. */
  | { readonly kind: "failed"; readonly cause: FailureCause }
  /** The deadline of the call passed. */
  | { readonly kind: "out-of-time" }
  /** The caller closed its connection. */
  | { readonly kind: "caller-gone" }

/** The endpoint that a call is sent to, and how it is sent. */
export interface Destination {
  readonly endpoint: Registration
  /** The adapter version that the endpoint must use. Undefined accepts any version. */
  readonly version?: AdapterVersion
  /** Whether the request has missed its latency objective, or will have missed it when the endpoint starts it. */
  readonly isLate: boolean
  /** Expected time in the endpoint's queue, in ms. */
  readonly waitMs: Millis
  /** Prompt tokens that the engine has to read until the first token, including those of other requests; undefined if unknown. */
  readonly unreadTokens?: number
}

/**
 * What a sink did with bytes of an answer: it used some of them, keeps all of
 * them until more follow, or found that they can't belong to the answer.
 */
export type DataOutcome = "used" | "kept" | "rejected"

/** Receives the parts of an answer that the attempt has accepted, in order. */
export interface AnswerSink {
  /** Receives the status and the headers. Called before `onData` and `onEnd`. */
  onHead(status: number, headers: RawHeaders): void
  /** Receives bytes of the body. */
  onData(chunk: Buffer): DataOutcome
  /** Receives the end of the answer. Returns the result of the attempt. */
  onEnd(): AttemptResult
  /** Returns the id of the last event that was passed on, after which another endpoint can continue. */
  getLastEventId(): string | undefined
}

/** How long an attempt waits before it classifies an endpoint as silent, in ms. Infinity means no limit. */
export interface AttemptTimeouts {
  readonly firstByteMs: Millis
  /** Time without bytes that the sink can use. A stalled endpoint that sends parts of an event counts as silent. */
  readonly betweenBytesMs: Millis
}
