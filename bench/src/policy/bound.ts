import { type AdapterKey, type Rank, RANKS, type RouteRequest } from "@galenaway/core"
import { DEFAULT_POLICY } from "@galenaway/policy"
import { BATCH_LIMIT, EngineModel, StoreModel } from "./engine.js"
import { Simulation } from "./simulation.js"
import { buildWorkload, type CaseName, DISTURBED_MS, formatAdapterKey } from "./workload.js"
import { ENGINE_COUNT, SLOT_COUNT } from "./world.js"

const PERCENT = 100
const MS_PER_SECOND = 1000
/** Time from the start of a request to its first token on an idle engine: the prefill and one step. */
const MIN_FIRST_TOKEN_MS = 35
/** Tokens per second of an engine with a full batch, which takes 23 ms for each step. */
const ENGINE_TOKENS_PER_SECOND = (BATCH_LIMIT * MS_PER_SECOND) / 23
/** Lengths of the windows in which the loads are limited. The lowest of their bounds is used. */
const WINDOWS_MS = [500, 1000, 2000, 5000]
const POOLED_RUN_MS = 500_000

/**
 * Computes an upper bound, in percent, of the share of a rank's requests that
 * any scheduler could serve within their target. Only requests that arrive in
 * the disturbed time count. The bound is the lower of two estimates:
 *
 * - One pooled engine has the speed of all engines and holds every adapter. It
 *   runs only this rank, on the share of the batch that the floors of the other
 *   ranks leave.
 * - The slots and the weight store limit the number of different adapters that
 *   can be served in a window.
 */
export function computeBound(name: CaseName, seed: number, rank: Rank): number {
  const all = buildWorkload(name, seed)
  const requests = all.filter((request) => request.rank === rank)
  const arrived = requests.filter(
    ({ arrivedAt }) => arrivedAt >= DISTURBED_MS.start && arrivedAt < DISTURBED_MS.end,
  )
  const countsByWindow = WINDOWS_MS.map((windowMs) => countWithinLoadLimit(arrived, rank, windowMs))
  const bound = Math.min(
    countOnTimePooled(requests, 1 - computeReservedShare(all, rank)),
    ...countsByWindow,
  )
  return (PERCENT * bound) / arrived.length
}

/**
 * Counts, over all windows, the requests for the most requested adapters of a
 * window. The number of these adapters is limited: they are resident at its
 * start, or can be loaded before the targets of the window's requests pass.
 */
function countWithinLoadLimit(
  requests: readonly RouteRequest[],
  rank: Rank,
  windowMs: number,
): number {
  const { ratePerSecond, burst } = DEFAULT_POLICY.loads
  const availableMs = windowMs + DEFAULT_POLICY.targetMs[rank]
  const limit =
    ENGINE_COUNT * SLOT_COUNT + burst + Math.ceil((ratePerSecond * availableMs) / MS_PER_SECOND)
  let served = 0
  for (let start = DISTURBED_MS.start; start < DISTURBED_MS.end; start += windowMs) {
    const counts = new Map<AdapterKey, number>()
    for (const { adapter, arrivedAt } of requests)
      if (arrivedAt >= start && arrivedAt < start + windowMs)
        counts.set(adapter, (counts.get(adapter) ?? 0) + 1)
    const highest = [...counts.values()].sort((a, b) => b - a).slice(0, limit)
    served += highest.reduce((sum, count) => sum + count, 0)
  }
  return served
}

/** Computes the share of the batch that the floors of the other ranks reserve, at most their demand. */
function computeReservedShare(requests: readonly RouteRequest[], rank: Rank): number {
  const seconds = (DISTURBED_MS.end - DISTURBED_MS.start) / MS_PER_SECOND
  let reserved = 0
  for (const otherRank of RANKS) {
    if (otherRank === rank) continue
    const tokens = requests
      .filter(({ arrivedAt }) => arrivedAt >= DISTURBED_MS.start && arrivedAt < DISTURBED_MS.end)
      .reduce((sum, request) => sum + (request.rank === otherRank ? request.maxTokens : 0), 0)
    const demand = tokens / seconds / (ENGINE_COUNT * ENGINE_TOKENS_PER_SECOND)
    reserved += Math.min(DEFAULT_POLICY.floors[otherRank], demand)
  }
  return reserved
}

/**
 * Counts the requests that start within their target on one engine with a share
 * of the batch and the speed of all engines. The shortest requests run first.
 */
function countOnTimePooled(requests: readonly RouteRequest[], share: number): number {
  const simulation = new Simulation()
  const engine = new EngineModel(
    "pool",
    simulation,
    new StoreModel(simulation),
    () => 1,
    Infinity,
    {
      batchLimit: Math.ceil(ENGINE_COUNT * BATCH_LIMIT * share),
      stepMsPerRequest: 0.5 / ENGINE_COUNT,
    },
  )
  let onTime = 0
  for (const request of requests)
    simulation.schedule(request.arrivedAt, () => {
      engine.addResident(request.adapter)
      engine.submit({
        request: request.id,
        adapter: request.adapter,
        priority: request.maxTokens,
        tokens: request.maxTokens,
        expiresAt: request.deadline - MIN_FIRST_TOKEN_MS,
        onFirstToken: () => {
          const isDisturbed =
            request.arrivedAt >= DISTURBED_MS.start && request.arrivedAt < DISTURBED_MS.end
          if (isDisturbed) onTime++
        },
        onEnd: () => undefined,
      })
    })
  simulation.runUntil(POOLED_RUN_MS)
  return onTime
}

/**
 * Counts the requested adapters that are resident on no engine at the start.
 * Each of them costs at least one load and one stall.
 */
export function countFirstLoads(name: CaseName, seed: number): number {
  const requested = new Set(buildWorkload(name, seed).map(({ adapter }) => adapter))
  for (let index = 0; index < ENGINE_COUNT * SLOT_COUNT; index++)
    requested.delete(formatAdapterKey(index))
  return requested.size
}
