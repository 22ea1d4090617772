import { type AdapterKey, type Rank, RANKS, type RouteRequest } from "@galenaway/core"
import { DEFAULT_POLICY } from "@galenaway/policy"
import { BATCH_LIMIT, EngineModel, StoreModel } from "./engine.js"
import { Simulation } from "./simulation.js"
import { buildWorkload, type CaseName, DISTURBED_MS, formatAdapterKey } from "./workload.js"
import { ENGINE_COUNT, SLOT_COUNT } from "./world.js"

const PERCENT = 100
const MS_PER_SECOND = 1000
/** Time from the start to the first token on an idle engine. */
const SHORTEST_START_MS = 35
/** Tokens that an engine makes with a full batch. */
const TOKENS_PER_SECOND = (BATCH_LIMIT * MS_PER_SECOND) / 23
const WINDOWS_MS = [500, 1000, 2000, 5000]

/**
 * Computes an upper bound of the share of a rank's requests in the disturbed
 * time that any scheduler could serve within their target, in percent. It is
 * the lower of two: one pooled engine that holds every adapter and runs this
 * rank first on the places that the others' floors leave, and the number of different adapters that the slots and the
 * weight store allow in each window.
 */
export function computeBound(name: CaseName, seed: number, rank: Rank): number {
  const all = buildWorkload(name, seed)
  const requests = all.filter((request) => request.rank === rank)
  const arrived = requests.filter(
    ({ arrivedAt }) => arrivedAt >= DISTURBED_MS.start && arrivedAt < DISTURBED_MS.end,
  )
  const served = WINDOWS_MS.map((windowMs) => countByAdapters(arrived, rank, windowMs))
  const bound = Math.min(countPooled(requests, 1 - computeKeptByOthers(all, rank)), ...served)
  return (PERCENT * bound) / arrived.length
}

/** Counts what the most requested adapters of each window ask for. */
function countByAdapters(requests: readonly RouteRequest[], rank: Rank, windowMs: number): number {
  const { ratePerSecond, burst } = DEFAULT_POLICY.loads
  const openMs = windowMs + DEFAULT_POLICY.targetMs[rank]
  const limit =
    ENGINE_COUNT * SLOT_COUNT + burst + Math.ceil((ratePerSecond * openMs) / MS_PER_SECOND)
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

/** Computes the share of the places that the other ranks' floors keep: no more than they ask for. */
function computeKeptByOthers(requests: readonly RouteRequest[], rank: Rank): number {
  const seconds = (DISTURBED_MS.end - DISTURBED_MS.start) / MS_PER_SECOND
  let kept = 0
  for (const other of RANKS) {
    if (other === rank) continue
    const tokens = requests
      .filter(({ arrivedAt }) => arrivedAt >= DISTURBED_MS.start && arrivedAt < DISTURBED_MS.end)
      .reduce((sum, request) => sum + (request.rank === other ? request.maxTokens : 0), 0)
    const demand = tokens / seconds / (ENGINE_COUNT * TOKENS_PER_SECOND)
    kept += Math.min(DEFAULT_POLICY.floors[other], demand)
  }
  return kept
}

/** Counts what one engine with the batch and the speed of all would start in time, the shortest first. */
function countPooled(requests: readonly RouteRequest[], share: number): number {
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
        expiresAt: request.deadline - SHORTEST_START_MS,
        onFirstToken: () => {
          const isDisturbed =
            request.arrivedAt >= DISTURBED_MS.start && request.arrivedAt < DISTURBED_MS.end
          if (isDisturbed) onTime++
        },
        onEnd: () => undefined,
      })
    })
  simulation.runUntil(500_000)
  return onTime
}

/** Counts the adapters that are asked for and are on no engine at the start: each takes a load and a stall at least. */
export function countFirstLoads(name: CaseName, seed: number): number {
  const asked = new Set(buildWorkload(name, seed).map(({ adapter }) => adapter))
  for (let index = 0; index < ENGINE_COUNT * SLOT_COUNT; index++)
    asked.delete(formatAdapterKey(index))
  return asked.size
}
