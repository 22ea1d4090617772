import type { EventsReply } from "@galenaway/daemon"
import { type Context, printResult, refuseUsage } from "../context.js"
import {
  type EventFilter,
  filterEvents,
  formatTimeline,
  mergeEvents,
  renderTimelinePage,
} from "../timeline.js"

/** Options of the time line. */
export interface TimelineOptions {
  readonly request?: string
  readonly adapter?: string
  readonly endpoint?: string
  readonly since?: string
  readonly html?: string
}

const UNIT_MS = { s: 1000, m: 60_000, h: 3_600_000 } as const

/** Shows the events of all instances in one order that respects causes. */
export async function runTimeline(context: Context, options: TimelineOptions): Promise<void> {
  const { client, shell } = context
  const { request, adapter, endpoint, since } = options
  const after = since === undefined ? undefined : parseSince(since, shell.now())
  const filter: EventFilter = { request, adapter, endpoint, since: after }
  const { answers, failures } = await client.readAll<EventsReply>("/v1/events")
  for (const failure of failures) shell.printError(`left out: ${failure}\n`)
  const events = filterEvents(mergeEvents(answers.map((each) => each.events)), filter)
  if (options.html !== undefined) shell.writeFile(options.html, renderTimelinePage(events))
  else printResult(context, events, () => formatTimeline(events))
}

/** Parses a duration as 30s, 10m or 2h before now, or a time as ISO 8601 text, to wall time in milliseconds. */
function parseSince(text: string, now: number): number {
  const [, count, unit] = /^(\d+)([smh])$/.exec(text) ?? []
  if (count !== undefined) return now - Number(count) * UNIT_MS[unit as keyof typeof UNIT_MS]
  const at = Date.parse(text)
  if (!Number.isNaN(at)) return at
  throw refuseUsage(
    `--since: got ${text}; allowed: a duration as 30s, 10m or 2h, or an ISO 8601 time`,
  )
}
