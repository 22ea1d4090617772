import { Agent } from "undici"
import { ConsulPlatform } from "@galenaway/daemon"
import { startPlatform } from "@galenaway/fakes"
import { type Measurement, printFit } from "./capacity-fit.js"

const KEY = "galenaway/configuration"
const WATCHER_COUNTS = [5, 10, 20, 40]
const CHANGE_COUNT = 5
const VALUE_BYTES = 4096

/** Measures and prints the watch calls to the platform that changes of one document cause. */
export async function printPlatformCalls(): Promise<void> {
  const measurements: Measurement[] = []
  for (const size of WATCHER_COUNTS) measurements.push({ size, value: await countWatches(size) })
  printFit(
    `watches for ${CHANGE_COUNT} changes and the wait after`,
    "calls a watcher",
    measurements,
  )
}

async function countWatches(watchers: number): Promise<number> {
  const server = await startPlatform()
  const agent = new Agent()
  const platform = new ConsulPlatform(server.url, agent)
  await platform.compareAndSwap(KEY, 0, "x".repeat(VALUE_BYTES))
  const controller = new AbortController()
  const seenRevisions = Array.from({ length: watchers }, () => 0)
  const runningWatchers = seenRevisions.map((_, index) =>
    runWatcher(platform, controller.signal, seenRevisions, index),
  )
  for (let change = 0; change < CHANGE_COUNT; change++) {
    await waitUntil(() =>
      seenRevisions.every((revision) => revision === seenRevisions[0] && revision > change),
    )
    const current = await platform.read(KEY)
    await platform.compareAndSwap(KEY, current?.revision ?? 0, "y".repeat(VALUE_BYTES))
  }
  await waitUntil(() => seenRevisions.every((revision) => revision > CHANGE_COUNT))
  await waitUntil(() => server.counters.watches >= watchers * (CHANGE_COUNT + 1))
  const { watches } = server.counters
  controller.abort()
  await Promise.allSettled(runningWatchers)
  await agent.destroy()
  await server.close()
  return watches
}

async function runWatcher(
  platform: ConsulPlatform,
  signal: AbortSignal,
  seenRevisions: number[],
  index: number,
): Promise<void> {
  const first = await platform.read(KEY)
  seenRevisions[index] = first?.revision ?? 0
  while (!signal.aborted) {
    const next = await platform.watch(KEY, seenRevisions[index] ?? 0, signal)
    seenRevisions[index] = next?.revision ?? 0
  }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5))
}
