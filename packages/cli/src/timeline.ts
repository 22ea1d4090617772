import type { TimelineEvent } from "@galenaway/observe"

/** Which events to show; what is undefined doesn't filter. */
export interface EventFilter {
  readonly request?: string | undefined
  readonly adapter?: string | undefined
  readonly endpoint?: string | undefined
  /** Wall time in milliseconds. */
  readonly since?: number | undefined
}

/** Merges the events of several processes in the order of their hybrid times. */
export function mergeEvents(lists: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
  return lists
    .flat()
    .sort(
      (a, b) =>
        a.at.wall - b.at.wall ||
        a.at.counter - b.at.counter ||
        a.instance.localeCompare(b.instance),
    )
}

/** Leaves the events that match the filter. */
export function filterEvents(
  events: readonly TimelineEvent[],
  filter: EventFilter,
): TimelineEvent[] {
  const { request, adapter, endpoint, since } = filter
  return events.filter(
    (event) =>
      (request === undefined || event.request === request) &&
      (adapter === undefined || event.adapter === adapter) &&
      (endpoint === undefined || event.endpoint === endpoint) &&
      (since === undefined || event.at.wall >= since),
  )
}

/** Formats events as one line each. */
export function formatTimeline(events: readonly TimelineEvent[]): string {
  if (events.length === 0) return "no events\n"
  return events.map((event) => `${formatEvent(event)}\n`).join("")
}

/** Renders events as a page for a browser. */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
  const text = formatTimeline(events).replaceAll("&", "&amp;").replaceAll("<", "&lt;")
  return `<!doctype html>\n<meta charset="utf-8">\n<title>galenaway time line</title>\n<pre>${text}</pre>\n`
}

function formatEvent({ at, instance, dataCentre, kind, ...rest }: TimelineEvent): string {
  const time = `${new Date(at.wall).toISOString()}+${at.counter}`
  const pairs = Object.entries(rest).map(([name, value]) => `${name}=${String(value)}`)
  return [time, `${dataCentre}/${instance}`, kind, ...pairs].join(" ")
}
