import type { AttemptTimeouts, Destination } from "./answer.js"
import { type Call, isStream } from "./call.js"
import type { ForwardContext } from "./context.js"

/** Timeout of the first byte as a share of the latency objective, for calls that aren't streams. */
const FIRST_BYTE_TIMEOUT_SHARE = 0.5
const MIN_FIRST_BYTE_TIMEOUT_MS = 100
/** An endpoint that is known to be slow gets this multiple of the expected time. A call that is ended earlier is often long itself and takes no less elsewhere. */
const EXPECTED_TIME_FACTOR = 4
/** Timeout of a stream's first event, to which the times for the queue and the prompt are added. Long prompts delay the event, and another engine would often have to load the adapter first. */
const FIRST_EVENT_TIMEOUT_MS = 1000
/** Allowed time for the prompt, as a multiple of the estimate. */
const PROMPT_TIME_FACTOR = 3
/** Added for late requests, since engines run them after all requests that can be on time. */
const LATE_TIMEOUT_MS = 2000
/** Timeout between two parts of an answer: at least this, and for streams a multiple of the pause that their objective allows. */
const BETWEEN_BYTES_TIMEOUT_MS = 900
const BETWEEN_EVENTS_PAUSES_COUNT = 3

/** Timeouts of a call that no other endpoint can continue. */
export const NO_TIMEOUTS: AttemptTimeouts = { firstByteMs: Infinity, betweenBytesMs: Infinity }

/** Chooses after which silence of its endpoint another one is searched for a call. */
export function chooseTimeouts(
  { paces }: ForwardContext,
  call: Call,
  { isLate, waitMs, expectedMs = 0 }: Destination,
): AttemptTimeouts {
  const { route, service, facts } = call
  if (isStream(call)) {
    const promptMs = paces.get(service).estimatePromptMs(facts.promptTokens)
    const queueMs = waitMs + (isLate ? LATE_TIMEOUT_MS : 0)
    const firstByteMs = FIRST_EVENT_TIMEOUT_MS + queueMs + PROMPT_TIME_FACTOR * promptMs
    const pausesMs = BETWEEN_EVENTS_PAUSES_COUNT * (route.pauseMs ?? 0)
    return { firstByteMs, betweenBytesMs: Math.max(BETWEEN_BYTES_TIMEOUT_MS, pausesMs) }
  }
  const objectiveShareMs = FIRST_BYTE_TIMEOUT_SHARE * route.objectiveMs
  return {
    firstByteMs: Math.max(
      MIN_FIRST_BYTE_TIMEOUT_MS,
      objectiveShareMs,
      EXPECTED_TIME_FACTOR * expectedMs,
    ),
    betweenBytesMs: BETWEEN_BYTES_TIMEOUT_MS,
  }
}
