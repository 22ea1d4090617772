import type { RequestId } from "@galenaway/core"
import type { TimelineEvent } from "./event.js"
import { describeEvent, formatOffset, formatProcess } from "./description.js"

const ROW_HEIGHT = 22
const HEAD_HEIGHT = 64
const INSTANCE_Y = 14
const DATA_CENTRE_Y = 30
const LANE_TOP = 38
const TIME_WIDTH = 90
const LANE_WIDTH = 110
const TEXT_WIDTH = 900
const DOT_RADIUS = 5
const TEXT_DROP = 4
const HUE_STEP = 137
const STYLE = `
  body { font: 13px system-ui, sans-serif; margin: 16px; color: #222; background: #fff }
  svg { display: block }
  text { font: 12px ui-monospace, monospace; fill: #222 }
  .lane { stroke: #ccc }
  .arrow { fill: none; stroke-width: 1.5 }
  .time { fill: #777 }
`

interface Dot {
  readonly event: TimelineEvent
  readonly x: number
  readonly y: number
  readonly color: string
}

/**
 * Renders merged events as one HTML page that loads nothing else: a lane for
 * each process, a row for each event, and arrows in one color for each request
 * from process to process. It is called when a person wants to look at a time line.
 */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
  const lanes = listLanes(events)
  const dots = createDots(events, lanes.map(formatProcess))
  const textLeft = TIME_WIDTH + lanes.length * LANE_WIDTH
  const height = HEAD_HEIGHT + events.length * ROW_HEIGHT
  const parts = [
    ...lanes.map((lane, index) => renderLane(lane, getLaneX(index), height)),
    ...listArrows(dots).map(renderArrow),
    ...dots.map((dot) => renderDot(dot, formatOffset(dot.event, events[0]), textLeft)),
  ]
  const size = `width="${textLeft + TEXT_WIDTH}" height="${height}"`
  return [
    `<!doctype html>`,
    `<html lang="en"><head><meta charset="utf-8"><title>Time line</title><style>${STYLE}</style></head>`,
    `<body><h1>Time line</h1><p>${events.length} events of ${lanes.length} processes</p>`,
    `<svg xmlns="http://www.w3.org/2000/svg" role="img" aria-label="Time line" ${size}>`,
    `<defs><marker id="head" markerWidth="8" markerHeight="8" refX="11" refY="4" orient="auto"><path d="M0 0 8 4 0 8z" fill="context-stroke"/></marker></defs>`,
    ...parts,
    `</svg></body></html>`,
    ``,
  ].join("\n")
}

/** Lists one event of each process, in the order of the processes' names. */
function listLanes(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
  const byPlace = new Map(events.map((event) => [formatProcess(event), event]))
  return [...byPlace.keys()].sort().flatMap((place) => byPlace.get(place) ?? [])
}

function createDots(events: readonly TimelineEvent[], lanes: readonly string[]): readonly Dot[] {
  const colors = createColors(events)
  return events.map((event, index) => ({
    event,
    x: getLaneX(lanes.indexOf(formatProcess(event))),
    y: HEAD_HEIGHT + index * ROW_HEIGHT,
    color: colors.get(event.request) ?? "#888",
  }))
}

function createColors(
  events: readonly TimelineEvent[],
): ReadonlyMap<RequestId | undefined, string> {
  const requests = new Set(events.flatMap(({ request }) => request ?? []))
  return new Map([...requests].map((request, index) => [request, computeColor(index)]))
}

/** Steps by the golden angle, so that neighbors in the list differ clearly. */
function computeColor(index: number): string {
  return `hsl(${(index * HUE_STEP) % 360} 70% 40%)`
}

function getLaneX(index: number): number {
  return TIME_WIDTH + index * LANE_WIDTH + LANE_WIDTH / 2
}

/** Pairs each event of a request with the request's next one. */
function listArrows(dots: readonly Dot[]): readonly (readonly [Dot, Dot])[] {
  const latest = new Map<RequestId, Dot>()
  const arrows: [Dot, Dot][] = []
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
    `<text x="${x}" y="${INSTANCE_Y}" text-anchor="middle">${formatText(instance)}</text>` +
    `<text class="time" x="${x}" y="${DATA_CENTRE_Y}" text-anchor="middle">${formatText(dataCentre)}</text>` +
    `<line class="lane" x1="${x}" y1="${LANE_TOP}" x2="${x}" y2="${height}"/>`
  )
}

function renderArrow([from, to]: readonly [Dot, Dot]): string {
  const line = `x1="${from.x}" y1="${from.y}" x2="${to.x}" y2="${to.y}"`
  return `<line class="arrow" ${line} stroke="${from.color}" marker-end="url(#head)"/>`
}

function renderDot({ event, x, y, color }: Dot, offset: string, textLeft: number): string {
  const baseline = y + TEXT_DROP
  return (
    `<text class="time" x="${TIME_WIDTH - 10}" y="${baseline}" text-anchor="end">${offset}</text>` +
    `<circle cx="${x}" cy="${y}" r="${DOT_RADIUS}" fill="${color}"/>` +
    `<text x="${textLeft}" y="${baseline}" style="fill:${color}">${formatText(describeEvent(event))}</text>`
  )
}

function formatText(text: string): string {
  return text
    .replace(/&/g, "&amp;")
    .replace(/</g, "&lt;")
    .replace(/>/g, "&gt;")
    .replace(/"/g, "&quot;")
}
