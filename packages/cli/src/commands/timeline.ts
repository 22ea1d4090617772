import { type AdapterKey, parseAdapterKey } from "@galenaway/core"
import type { EventsReply } from "@galenaway/daemon"
import { type CommandContext, createUsageError, printResult } from "../context.js"
import {
  filterEvents,
  formatTimeline,
  mergeEvents,
  renderTimelinePage,
  type TimelineFilter,
} from "@galenaway/observe"

/** Options of the timeline command. */
export interface TimelineOptions {
  readonly request?: string
  readonly adapter?: string
  readonly endpoint?: string
  readonly since?: string
  readonly html?: string
}

const DURATION_UNITS_MS = { s: 1000, m: 60_000, h: 3_600_000 } as const

/**
 * Prints the events of all instances in causal order, or writes them to an HTML
 * page. Instances that don't answer are named on the standard error.
 */
export async function runTimeline(
  context: CommandContext,
  options: TimelineOptions,
): Promise<void> {
  const { client, shell } = context
  const { request, endpoint, since } = options
  const sinceMs = since === undefined ? undefined : parseSince(since, shell.now())
  const adapter = options.adapter === undefined ? undefined : parseAdapterOption(options.adapter)
  const filter: TimelineFilter = { request, adapter, endpoint, since: sinceMs }
  const { answers, failures } = await client.readAll<EventsReply>("/v1/events")
  for (const failure of failures) shell.printError(`left out: ${failure}\n`)
  const events = filterEvents(mergeEvents(answers.map((each) => each.events)), filter)
  if (options.html !== undefined) shell.writeFile(options.html, renderTimelinePage(events))
  else printResult(context, events, () => formatTimeline(events))
}

function parseAdapterOption(text: string): AdapterKey {
  const adapter = parseAdapterKey(text)
  if (adapter !== undefined) return adapter
  throw createUsageError(`--adapter: got ${text}; allowed: base/adapter@version`)
}

/**
 * Parses a duration before now (30s, 10m or 2h) or an ISO 8601 time. Returns the
 * time in milliseconds since the Unix epoch. Throws a CommandError for other text.
 */
function parseSince(text: string, now: number): number {
  const [, count, unit] = /^(\d+)([smh])$/.exec(text) ?? []
  if (count !== undefined)
    return now - Number(count) * DURATION_UNITS_MS[unit as keyof typeof DURATION_UNITS_MS]
  const at = Date.parse(text)
  if (!Number.isNaN(at)) return at
  throw createUsageError(
    `--since: got ${text}; allowed: a duration as 30s, 10m or 2h, or an ISO 8601 time`,
  )
}
