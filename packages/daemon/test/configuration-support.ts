import {
  checkConfiguration,
  CONFIGURATION_KEY,
  INITIAL_STORED_CONFIGURATION,
  formatStoredConfiguration,
  planChange,
  type StoredConfiguration,
} from "@galenaway/config"
import { PlatformError, type VersionedValue } from "@galenaway/core"
import { StoredActiveConfiguration, type RetryTiming } from "@galenaway/daemon"
import { createLog, noopRecorder } from "@galenaway/observe"

const LONG_PAUSE_MS = 5000
const MAX_PAUSE_COUNT = 10
const BURST_COUNT = 1000

/** Creates a log that stores its lines in memory. */
export function createMemoryLog() {
  const lines: string[] = []
  const origin = { instance: "entry-1", dataCentre: "iloilo" }
  const destination = { write: (line: string) => void lines.push(line) }
  return { lines, log: createLog("info", origin, destination) }
}

export function createActiveConfiguration(log = createMemoryLog().log): StoredActiveConfiguration {
  return new StoredActiveConfiguration(log, noopRecorder)
}

export function buildEdited(burst: number, baseRevision: number) {
  const { configuration } = checkConfiguration({ defaults: { loads: { burst } } })
  return { configuration, baseRevision }
}

export function buildOrigin(id: string) {
  return { id, author: "maria", reason: "more loads", at: "2026-01-31T06:00:00.000Z" }
}

/** Builds the stored documents of the revisions 1 to `count`. */
export function buildDocuments(count: number): string[] {
  let stored: StoredConfiguration = INITIAL_STORED_CONFIGURATION
  return Array.from({ length: count }, (_, index) => {
    const edited = buildEdited(1 + (index % BURST_COUNT), index)
    const plan = planChange(stored, edited, buildOrigin(`change-${index + 1}`))
    if (plan.kind !== "write") throw new Error(plan.kind)
    stored = plan.next
    return formatStoredConfiguration(stored)
  })
}

/**
 * Creates pauses that are recorded and end immediately. Pauses of
 * `LONG_PAUSE_MS` or more, and all after `MAX_PAUSE_COUNT`, never end, so that
 * retry loops stop.
 */
export function createTiming(random = 0.5): RetryTiming & { readonly pauses: number[] } {
  const pauses: number[] = []
  const pause = (ms: number) => {
    if (ms >= LONG_PAUSE_MS || pauses.length >= MAX_PAUSE_COUNT)
      return new Promise<void>(() => undefined)
    pauses.push(ms)
    return Promise.resolve()
  }
  return { pauses, pause, random: () => random }
}

/** Platform in memory that stores only the configuration, with injected faults. */
export class MemoryPlatform {
  entry: VersionedValue | undefined
  /** Number of next reads that fail. */
  failingReads = 0
  /** Number of next writes that are applied and whose replies are lost. */
  lostReplies = 0
  /** Functions to call in the next reads, one for each, after its value has been read and before it is returned. */
  afterReads: (() => void)[] = []

  read(key: string): Promise<VersionedValue | undefined> {
    if (key !== CONFIGURATION_KEY) throw new Error(key)
    if (this.failingReads-- > 0) return Promise.reject(new PlatformError("platform", "down"))
    const found = this.entry
    this.afterReads.shift()?.()
    return Promise.resolve(found)
  }

  compareAndSwap(_key: string, expectedRevision: number, value: string): Promise<boolean> {
    if ((this.entry?.revision ?? 0) !== expectedRevision) return Promise.resolve(false)
    this.set(value)
    if (this.lostReplies-- > 0) return Promise.reject(new PlatformError("platform", "no reply"))
    return Promise.resolve(true)
  }

  watch(): Promise<VersionedValue | undefined> {
    return new Promise(() => undefined)
  }

  set(value: string): void {
    this.entry = { value, revision: (this.entry?.revision ?? 0) + 1 }
  }
}
