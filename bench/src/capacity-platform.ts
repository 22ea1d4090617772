import { Agent } from "undici"
import { ConsulPlatform } from "@galenaway/daemon"
import { startPlatform } from "@galenaway/fakes"
import { type Measurement, printFit } from "./capacity-fit.js"

const KEY = "galenaway/configuration"
const WATCHERS = [5, 10, 20, 40]
const CHANGES = 5
const VALUE_BYTES = 4096

/** Measures and prints the calls at the platform that changes of one watched document cost. */
export async function printPlatformCalls(): Promise<void> {
  const points: Measurement[] = []
  for (const size of WATCHERS) points.push({ size, value: await countWatches(size) })
  printFit(`watches for ${CHANGES} changes and the wait after`, "calls a watcher", points)
}

async function countWatches(watchers: number): Promise<number> {
  const server = await startPlatform()
  const agent = new Agent()
  const platform = new ConsulPlatform(server.url, agent)
  await platform.compareAndSwap(KEY, 0, "x".repeat(VALUE_BYTES))
  const stop = new AbortController()
  const seen = Array.from({ length: watchers }, () => 0)
  const running = seen.map((_, index) => runWatcher(platform, stop.signal, seen, index))
  for (let change = 0; change < CHANGES; change++) {
    await waitUntil(() => seen.every((revision) => revision === seen[0] && revision > change))
    const current = await platform.read(KEY)
    await platform.compareAndSwap(KEY, current?.revision ?? 0, "y".repeat(VALUE_BYTES))
  }
  await waitUntil(() => seen.every((revision) => revision > CHANGES))
  await waitUntil(() => server.counters.watches >= watchers * (CHANGES + 1))
  const { watches } = server.counters
  stop.abort()
  await Promise.allSettled(running)
  await agent.destroy()
  await server.close()
  return watches
}

async function runWatcher(
  platform: ConsulPlatform,
  signal: AbortSignal,
  seen: number[],
  index: number,
): Promise<void> {
  const first = await platform.read(KEY)
  seen[index] = first?.revision ?? 0
  while (!signal.aborted) {
    const next = await platform.watch(KEY, seen[index] ?? 0, signal)
    seen[index] = next?.revision ?? 0
  }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5))
}
