import fc from "fast-check"
import type { Clock } from "@galenaway/core"
import {
  createRecorder,
  type HybridTime,
  type TimelineEvent,
  type TimelineRecorder,
} from "@galenaway/observe"

/** Processes in a random history. */
export const PROCESS_COUNT = 4
/** Seed of every property test here. */
export const SEED = 20_261

const START_MS = 1_700_000_000_000
const MAX_SKEW_MS = 25_000
const EVENT_LIMIT = 1000

/** One step of a random history. */
export type HistoryAction =
  | { readonly kind: "record" | "send" | "receive"; readonly process: number }
  | { readonly kind: "jump"; readonly process: number; readonly skewMs: number }
  | { readonly kind: "pass"; readonly ms: number }

/** An event of a history: its name, the wall clock that it saw, and the events known to be its causes. */
export interface RecordedEvent {
  readonly name: string
  readonly wall: number
  readonly causes: ReadonlySet<string>
}

/** What a history left behind. */
export interface History {
  readonly lists: readonly (readonly TimelineEvent[])[]
  readonly events: readonly RecordedEvent[]
}

const PROCESS = fc.nat({ max: PROCESS_COUNT - 1 })

/** Random histories of processes whose clocks are skewed and jump. */
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

/** A clock that a test moves. */
export interface ManualClock extends Clock {
  nowMs: number
  skewMs: number
}

/** Creates a clock that stands still until it is moved. */
export function createClock(skewMs = 0): ManualClock {
  const clock: ManualClock = {
    nowMs: 0,
    skewMs,
    now: () => clock.nowMs,
    wallNow: () => START_MS + clock.nowMs + clock.skewMs,
  }
  return clock
}

/** Creates a recorder with a hand-moved clock. */
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
  known: ReadonlySet<string>
}

interface SentMessage {
  readonly time: HybridTime
  readonly known: ReadonlySet<string>
}

/** Runs a history; a message is received by any process, late and in any order. */
export function runHistory(actions: readonly HistoryAction[]): History {
  const processes = Array.from({ length: PROCESS_COUNT }, (_, index) => createProcess(index))
  const messages: SentMessage[] = []
  const events: RecordedEvent[] = []
  for (const action of actions) runAction(action, processes, messages, events)
  return { lists: processes.map(({ recorder }) => recorder.listEvents()), events }
}

function createProcess(index: number): Process {
  const clock = createClock()
  return { clock, recorder: createTestRecorder(clock, `entry-${index}`), known: new Set() }
}

function runAction(
  action: HistoryAction,
  processes: readonly Process[],
  messages: SentMessage[],
  happenings: RecordedEvent[],
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
      happenings.push(recordEvent(process, happenings.length))
      return
    case "send":
      happenings.push(recordEvent(process, happenings.length))
      messages.push({ time: process.recorder.stamp(), known: process.known })
      return
    case "receive": {
      const message = messages.shift()
      if (!message) return
      process.recorder.merge(message.time)
      process.known = new Set([...process.known, ...message.known])
      happenings.push(recordEvent(process, happenings.length))
    }
  }
}

function recordEvent(process: Process, index: number): RecordedEvent {
  const name = `e${index}`
  const causes = process.known
  process.recorder.record({ kind: "request-sent", note: name })
  process.known = new Set([...causes, name])
  return { name, wall: process.clock.wallNow(), causes }
}

/** Finds an event that stands before one of its causes. */
export function findViolation(order: readonly string[], history: History): string | undefined {
  const causesOf = new Map(history.events.map(({ name, causes }) => [name, causes]))
  const seen = new Set<string>()
  for (const name of order) {
    const early = [...(causesOf.get(name) ?? [])].find((cause) => !seen.has(cause))
    if (early !== undefined) return `${name} before ${early}`
    seen.add(name)
  }
  return undefined
}
