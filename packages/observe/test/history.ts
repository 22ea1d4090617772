import fc from "fast-check"
import type { Clock } from "@galenaway/core"
import {
  createRecorder,
  type HybridTime,
  type TimelineEvent,
  type TimelineRecorder,
} from "@galenaway/observe"

/** The number of processes in a random history. */
export const PROCESS_COUNT = 4
/** The seed of all property tests in this folder. */
export const SEED = 20_261

const START_MS = 1_700_000_000_000
const MAX_SKEW_MS = 25_000
const EVENT_LIMIT = 1000

/** One step of a random history. `jump` changes a process's clock skew, `pass` advances all clocks. */
export type HistoryAction =
  | { readonly kind: "record" | "send" | "receive"; readonly process: number }
  | { readonly kind: "jump"; readonly process: number; readonly skewMs: number }
  | { readonly kind: "pass"; readonly ms: number }

/**
 * An event of a history: its name, the wall time of its process, and the names of
 * the events that precede it causally.
 */
export interface RecordedEvent {
  readonly name: string
  readonly wall: number
  readonly causes: ReadonlySet<string>
}

/** The result of running a history. */
export interface History {
  readonly lists: readonly (readonly TimelineEvent[])[]
  readonly events: readonly RecordedEvent[]
}

const PROCESS = fc.nat({ max: PROCESS_COUNT - 1 })

/** Random histories of processes with skewed clocks that jump. */
export const ACTIONS: fc.Arbitrary<readonly HistoryAction[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constantFrom("record", "send", "receive"), process: PROCESS }),
    fc.record({
      kind: fc.constant("jump" as const),
      process: PROCESS,
      skewMs: fc.integer({ min: -MAX_SKEW_MS, max: MAX_SKEW_MS }),
    }),
    fc.record({ kind: fc.constant("pass" as const), ms: fc.nat({ max: 20 }) }),
  ),
  { maxLength: 60 },
)

/** A clock that a test advances. */
export interface ManualClock extends Clock {
  nowMs: number
  skewMs: number
}

/** Creates a clock that stays at 0 until a test advances it. */
export function createClock(skewMs = 0): ManualClock {
  const clock: ManualClock = {
    nowMs: 0,
    skewMs,
    now: () => clock.nowMs,
    wallNow: () => START_MS + clock.nowMs + clock.skewMs,
  }
  return clock
}

/** Creates a recorder for a process in data centre a. */
export function createTestRecorder(
  clock: Clock,
  instance = "entry-1",
  limit = EVENT_LIMIT,
): TimelineRecorder {
  return createRecorder({ instance, dataCentre: "a", clock, limit })
}

interface Process {
  readonly clock: ManualClock
  readonly recorder: TimelineRecorder
  knownEvents: ReadonlySet<string>
}

interface SentMessage {
  readonly time: HybridTime
  readonly knownEvents: ReadonlySet<string>
}

/**
 * Runs a history. Messages are received in the order in which they were sent, by any
 * process and with any delay.
 */
export function runHistory(actions: readonly HistoryAction[]): History {
  const processes = Array.from({ length: PROCESS_COUNT }, (_, index) => createProcess(index))
  const messages: SentMessage[] = []
  const events: RecordedEvent[] = []
  for (const action of actions) runAction(action, processes, messages, events)
  return { lists: processes.map(({ recorder }) => recorder.listEvents()), events }
}

function createProcess(index: number): Process {
  const clock = createClock()
  return { clock, recorder: createTestRecorder(clock, `entry-${index}`), knownEvents: new Set() }
}

function runAction(
  action: HistoryAction,
  processes: readonly Process[],
  messages: SentMessage[],
  events: RecordedEvent[],
): void {
  if (action.kind === "pass") {
    for (const { clock } of processes) clock.nowMs += action.ms
    return
  }
  const process = processes[action.process]
  if (!process) return
  switch (action.kind) {
    case "jump":
      process.clock.skewMs = action.skewMs
      return
    case "record":
      events.push(recordEvent(process, events.length))
      return
    case "send":
      events.push(recordEvent(process, events.length))
      messages.push({ time: process.recorder.stamp(), knownEvents: process.knownEvents })
      return
    case "receive": {
      const message = messages.shift()
      if (!message) return
      process.recorder.merge(message.time)
      process.knownEvents = new Set([...process.knownEvents, ...message.knownEvents])
      events.push(recordEvent(process, events.length))
    }
  }
}

function recordEvent(process: Process, index: number): RecordedEvent {
  const name = `e${index}`
  const causes = process.knownEvents
  process.recorder.record({ kind: "request-sent", note: name })
  process.knownEvents = new Set([...causes, name])
  return { name, wall: process.clock.wallNow(), causes }
}

/**
 * Describes the first event in an order that precedes one of its causes. Returns
 * undefined if there is none.
 */
export function findViolation(order: readonly string[], history: History): string | undefined {
  const causesOf = new Map(history.events.map(({ name, causes }) => [name, causes]))
  const seen = new Set<string>()
  for (const name of order) {
    const laterCause = [...(causesOf.get(name) ?? [])].find((cause) => !seen.has(cause))
    if (laterCause !== undefined) return `${name} before ${laterCause}`
    seen.add(name)
  }
  return undefined
}
