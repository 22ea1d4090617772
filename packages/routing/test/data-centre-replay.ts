import { DataCentreCosts, type DataCentreLoad } from "@galenaway/routing"

/** How requests choose a data centre: never another one, by the engines' costs only, or with the costs of data centres. */
export type ReplayRule = "local" | "cheapest" | "costs"

export interface DataCentreReplayResult {
  /** Share of requests that wait longer than the objective. */
  readonly lateShare: number
  /** Share of requests that are sent to another data centre. */
  readonly crossingShare: number
}

const NAMES = ["dc-a", "dc-b", "dc-c", "dc-d"]
const STEP_MS = 50
const DURATION_MS = 120_000
const PERIOD_MS = 60_000
/** The peaks of the data centres are this far apart. */
const PEAK_DISTANCE_MS = 15_000
const SWING = 0.55
const SLOT_COUNT = 512
const RUN_MS = 1500
const OBJECTIVE_MS = 500
const FIGURE_AGE_STEPS = 6
const HOP_MS = 8
const FULL_BATCH_MS = 30
const TRANSFER_MS = 40
/** From this time on, `lostShare` of the engines of the first data centre are gone. */
const LOSS_AT_MS = 60_000

/** Replays four data centres as flows of requests. All instances of a data centre have the same figures, which are 300 ms old. */
export function replayDataCentres(
  rule: ReplayRule,
  demandShare: number,
  lostShare = 0,
): DataCentreReplayResult {
  const running = NAMES.map(() => 0)
  const costs = NAMES.map((name) => new DataCentreCosts(name, TRANSFER_MS))
  const history: DataCentreLoad[][] = []
  let [total, late, crossing] = [0, 0, 0]
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    const slots = NAMES.map((_, index) =>
      index === 0 && now >= LOSS_AT_MS ? SLOT_COUNT * (1 - lostShare) : SLOT_COUNT,
    )
    history.push(
      NAMES.map((dataCentre, index) => ({
        dataCentre,
        fill: (running[index] ?? 0) / Math.max(1, slots[index] ?? 0),
      })),
    )
    const loads = history.at(-1 - FIGURE_AGE_STEPS) ?? history[0] ?? []
    for (const [index] of NAMES.entries()) {
      costs[index]?.update(loads)
      const phase = (2 * Math.PI * (now - index * PEAK_DISTANCE_MS)) / PERIOD_MS
      const demand = demandShare * (1 + SWING * Math.sin(phase))
      const arrivals = (demand * SLOT_COUNT * STEP_MS) / RUN_MS
      const chosen = chooseDataCentre(rule, index, loads, costs[index])
      const waitMs = computeWaitMs(running[chosen] ?? 0, slots[chosen] ?? 0)
      running[chosen] = (running[chosen] ?? 0) + arrivals
      total += arrivals
      if (waitMs > OBJECTIVE_MS) late += arrivals
      if (chosen !== index) crossing += arrivals
    }
    for (const [index, count] of running.entries())
      running[index] = count - (Math.min(count, slots[index] ?? 0) * STEP_MS) / RUN_MS
  }
  return { lateShare: late / total, crossingShare: crossing / total }
}

function chooseDataCentre(
  rule: ReplayRule,
  own: number,
  loads: readonly DataCentreLoad[],
  costs: DataCentreCosts | undefined,
): number {
  if (rule === "local") return own
  const compute = ({ dataCentre, fill }: DataCentreLoad, index: number) => {
    const added = rule === "costs" ? (costs?.getCost(dataCentre) ?? 0) : 0
    const busyMs = FULL_BATCH_MS * Math.min(1, fill) + RUN_MS * Math.max(0, fill - 1)
    return busyMs + (index === own ? 0 : HOP_MS + added)
  }
  const values = loads.map(compute)
  return values.indexOf(Math.min(...values))
}

function computeWaitMs(running: number, slots: number): number {
  return slots < 1 ? Infinity : (Math.max(0, running - slots) / slots) * RUN_MS
}
