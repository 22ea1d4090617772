import type { RequestId } from "@galenaway/core"
import type { TimelineEvent } from "./event.js"
import { describeEvent, formatOffset, formatProcess } from "./description.js"

const ROW_HEIGHT_PX = 22
const HEAD_HEIGHT_PX = 64
const INSTANCE_Y_PX = 14
const DATA_CENTRE_Y_PX = 30
const LANE_TOP_PX = 38
const TIME_WIDTH_PX = 90
const LANE_WIDTH_PX = 110
const TEXT_WIDTH_PX = 900
const DOT_RADIUS_PX = 5
const BASELINE_OFFSET_PX = 4
const HUE_STEP_DEGREES = 137
const STYLE = `
  body { font: 13px system-ui, sans-serif; margin: 16px; color: #222; background: #fff }
  svg { display: block }
  text { font: 12px ui-monospace, monospace; fill: #222 }
  .lane { stroke: #ccc }
  .arrow { fill: none; stroke-width: 1.5 }
  .time { fill: #777 }
`

interface EventDot {
  readonly event: TimelineEvent
  readonly x: number
  readonly y: number
  readonly color: string
}

/**
 * Renders merged events as one HTML page without external resources or scripts.
 * The page has a lane for each process, a row for each event, and arrows between
 * the events of each request in that request's color.
 */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
  const lanes = listLanes(events)
  const dots = createDots(events, lanes.map(formatProcess))
  const textLeft = TIME_WIDTH_PX + lanes.length * LANE_WIDTH_PX
  const height = HEAD_HEIGHT_PX + events.length * ROW_HEIGHT_PX
  const elements = [
    ...lanes.map((lane, index) => renderLane(lane, getLaneX(index), height)),
    ...listArrows(dots).map(renderArrow),
    ...dots.map((dot) => renderDot(dot, formatOffset(dot.event, events[0]), textLeft)),
  ]
  const size = `width="${textLeft + TEXT_WIDTH_PX}" height="${height}"`
  return [
    `<!doctype html>`,
    `<html lang="en"><head><meta charset="utf-8"><title>Time line</title><style>${STYLE}</style></head>`,
    `<body><h1>Time line</h1><p>${events.length} events of ${lanes.length} processes</p>`,
    `<svg xmlns="http://www.w3.org/2000/svg" role="img" aria-label="Time line" ${size}>`,
    `<defs><marker id="head" markerWidth="8" markerHeight="8" refX="11" refY="4" orient="auto"><path d="M0 0 8 4 0 8z" fill="context-stroke"/></marker></defs>`,
    ...elements,
    `</svg></body></html>`,
    ``,
  ].join("\n")
}

/** Returns one event of each process, ordered by the name of the process. */
function listLanes(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
  const byName = new Map(events.map((event) => [formatProcess(event), event]))
  return [...byName.keys()].sort().flatMap((name) => byName.get(name) ?? [])
}

function createDots(
  events: readonly TimelineEvent[],
  lanes: readonly string[],
): readonly EventDot[] {
  const colors = createColors(events)
  return events.map((event, index) => ({
    event,
    x: getLaneX(lanes.indexOf(formatProcess(event))),
    y: HEAD_HEIGHT_PX + index * ROW_HEIGHT_PX,
    color: colors.get(event.request) ?? "#888",
  }))
}

function createColors(
  events: readonly TimelineEvent[],
): ReadonlyMap<RequestId | undefined, string> {
  const requests = new Set(events.flatMap(({ request }) => request ?? []))
  return new Map([...requests].map((request, index) => [request, computeColor(index)]))
}

/** Advances the hue by the golden angle, so that consecutive colors differ clearly. */
function computeColor(index: number): string {
  return `hsl(${(index * HUE_STEP_DEGREES) % 360} 70% 40%)`
}

function getLaneX(index: number): number {
  return TIME_WIDTH_PX + index * LANE_WIDTH_PX + LANE_WIDTH_PX / 2
}

/** Returns a pair for each event of a request and the next event of the same request. */
function listArrows(dots: readonly EventDot[]): readonly (readonly [EventDot, EventDot])[] {
  const latest = new Map<RequestId, EventDot>()
  const arrows: [EventDot, EventDot][] = []
  for (const dot of dots) {
    const { request } = dot.event
    if (request === undefined) continue
    const previous = latest.get(request)
    if (previous) arrows.push([previous, dot])
    latest.set(request, dot)
  }
  return arrows
}

function renderLane({ instance, dataCentre }: TimelineEvent, x: number, height: number): string {
  return (
    `<text x="${x}" y="${INSTANCE_Y_PX}" text-anchor="middle">${escapeHtml(instance)}</text>` +
    `<text class="time" x="${x}" y="${DATA_CENTRE_Y_PX}" text-anchor="middle">${escapeHtml(dataCentre)}</text>` +
    `<line class="lane" x1="${x}" y1="${LANE_TOP_PX}" x2="${x}" y2="${height}"/>`
  )
}

function renderArrow([from, to]: readonly [EventDot, EventDot]): string {
  const line = `x1="${from.x}" y1="${from.y}" x2="${to.x}" y2="${to.y}"`
  return `<line class="arrow" ${line} stroke="${from.color}" marker-end="url(#head)"/>`
}

function renderDot({ event, x, y, color }: EventDot, offset: string, textLeft: number): string {
  const baseline = y + BASELINE_OFFSET_PX
  return (
    `<text class="time" x="${TIME_WIDTH_PX - 10}" y="${baseline}" text-anchor="end">${offset}</text>` +
    `<circle cx="${x}" cy="${y}" r="${DOT_RADIUS_PX}" fill="${color}"/>` +
    `<text x="${textLeft}" y="${baseline}" style="fill:${color}">${escapeHtml(describeEvent(event))}</text>`
  )
}

function escapeHtml(text: string): string {
  return text
    .replace(/&/g, "&amp;")
    .replace(/</g, "&lt;")
    .replace(/>/g, "&gt;")
    .replace(/"/g, "&quot;")
}
