import { type AdapterKey, type EndpointId, type EngineReport } from "@galenaway/core"
import type { Simulation } from "./simulation.js"

const STEP_MS = 15
const PREFILL_MS = 20
const REPORT_INTERVAL_MS = 200
const MS_PER_SECOND = 1000
/** Requests that an engine runs at once. */
export const BATCH_LIMIT = 16

/** Batch size and step time of an engine. A step also has a fixed time, `STEP_MS`. */
export interface EngineSpeed {
  readonly batchLimit: number
  /** Added time of a step for each running request, in milliseconds. */
  readonly stepMsPerRequest: number
}

const DEFAULT_SPEED: EngineSpeed = { batchLimit: BATCH_LIMIT, stepMsPerRequest: 0.5 }

/**
 * Models the weight store. Starts of transfers are spaced by the rate once the
 * burst is used up. Transfers above the full-speed number in transit take
 * longer, in proportion to the number in transit when they start.
 */
export class StoreModel {
  private nextStart = 0
  private inTransit = 0
  loads = 0
  maxInTransit = 0

  constructor(
    private readonly simulation: Simulation,
    private readonly ratePerSecond = 7,
    private readonly burst = 3,
    private readonly loadMs = 250,
    private readonly fullSpeedTransit = 24,
  ) {}

  /** Transfers one adapter and calls back when its weights have arrived. */
  transfer(onDone: () => void): void {
    const spacing = MS_PER_SECOND / this.ratePerSecond
    const { now } = this.simulation
    this.nextStart = Math.max(this.nextStart, now - (this.burst - 1) * spacing) + spacing
    this.inTransit++
    this.loads++
    this.maxInTransit = Math.max(this.maxInTransit, this.inTransit)
    this.simulation.schedule(Math.max(0, this.nextStart - spacing - now), () => {
      const transferMs = this.loadMs * Math.max(1, this.inTransit / this.fullSpeedTransit)
      this.simulation.schedule(transferMs, () => {
        this.inTransit--
        onDone()
      })
    })
  }
}

/** A request at an engine, with callbacks for its progress. */
export interface EngineRun {
  readonly request: string
  readonly adapter: AdapterKey
  /** Requests with the lowest value run first. */
  readonly priority: number
  /** Tokens that the engine generates for the request. */
  readonly tokens: number
  /** Time in milliseconds after which a waiting request is dropped without a callback. */
  readonly expiresAt?: number
  readonly onFirstToken: () => void
  readonly onEnd: (result: "done" | "failed") => void
}

interface ActiveRun {
  readonly run: EngineRun
  readyAt: number
  generatedTokens: number
}

/** Counts of an engine's work since the start of the simulation. */
export interface EngineCounters {
  tokens: number
  steps: number
  loads: number
  failedLoads: number
  /** Loads whose adapter served no request before it was evicted. */
  unusedLoads: number
  /** Evictions of an adapter that had running or waiting requests. */
  evictionsInUse: number
  /** Requests for an adapter that wasn't resident. */
  missingAdapters: number
}

interface Resident {
  readonly loadedAt: number
  uses: number
}

/** Models an engine with continuous batching: each step generates one token for every prefilled request. */
export class EngineModel {
  readonly resident = new Map<AdapterKey, Resident>()
  readonly counters: EngineCounters = {
    tokens: 0,
    steps: 0,
    loads: 0,
    failedLoads: 0,
    unusedLoads: 0,
    evictionsInUse: 0,
    missingAdapters: 0,
  }
  loadFailureShare = 0
  private waiting: EngineRun[] = []
  private running: ActiveRun[] = []
  private incarnation = 1
  private isStepping = false
  private isDown = false
  private latestReport: EngineReport

  constructor(
    readonly id: EndpointId,
    private readonly simulation: Simulation,
    private readonly store: StoreModel,
    private readonly random: () => number,
    private readonly slots: number,
    private readonly speed: EngineSpeed = DEFAULT_SPEED,
  ) {
    this.latestReport = this.createReport()
    simulation.scheduleEvery(REPORT_INTERVAL_MS, () => {
      this.latestReport = this.createReport()
      return true
    })
  }

  /**
   * Makes an adapter resident at once and without a load, for the state at the
   * start of a run. It counts as used, so its eviction isn't an unused load.
   */
  addResident(adapter: AdapterKey): void {
    this.resident.set(adapter, { loadedAt: 0, uses: 1 })
  }

  /** Returns the last periodic report, or undefined while the engine is down. */
  report(): EngineReport | undefined {
    return this.isDown ? undefined : this.latestReport
  }

  /** Accepts a request, or returns why it can't run: the engine is down or the adapter isn't resident. */
  submit(run: EngineRun): "accepted" | "down" | "missing" {
    if (this.isDown) return "down"
    const resident = this.resident.get(run.adapter)
    if (!resident) {
      this.counters.missingAdapters++
      return "missing"
    }
    resident.uses++
    this.waiting.push(run)
    this.waiting.sort((a, b) => a.priority - b.priority)
    this.admit()
    return "accepted"
  }

  /** Removes a request without calling its callbacks. */
  cancel(request: string): void {
    this.waiting = this.waiting.filter((run) => run.request !== request)
    this.running = this.running.filter(({ run }) => run.request !== request)
    this.admit()
  }

  /**
   * Loads an adapter from the store and calls back with whether it is resident.
   * The load fails when the engine is down or restarts, when its slots are full,
   * and with the probability `loadFailureShare`.
   */
  load(adapter: AdapterKey, onDone: (isLoaded: boolean) => void): void {
    const { incarnation } = this
    if (this.isDown) {
      onDone(false)
      return
    }
    this.store.transfer(() => {
      const isFailing = this.random() < this.loadFailureShare
      const isFull = !this.resident.has(adapter) && this.resident.size >= this.slots
      if (isFailing || isFull || this.isDown || incarnation !== this.incarnation) {
        this.counters.failedLoads++
        onDone(false)
        return
      }
      this.counters.loads++
      if (!this.resident.has(adapter))
        this.resident.set(adapter, { loadedAt: this.simulation.now, uses: 0 })
      onDone(true)
    })
  }

  /** Evicts an adapter at once, even while requests use it. */
  unload(adapter: AdapterKey): void {
    if (this.isDown) return
    const usesAdapter = (run: EngineRun) => run.adapter === adapter
    if (this.waiting.some(usesAdapter) || this.running.some(({ run }) => usesAdapter(run)))
      this.counters.evictionsInUse++
    if (this.resident.get(adapter)?.uses === 0) this.counters.unusedLoads++
    this.resident.delete(adapter)
  }

  /** Stops the engine. Its requests fail and its adapters are lost. */
  stop(): void {
    this.isDown = true
    this.incarnation++
    this.resident.clear()
    const failed = [...this.waiting, ...this.running.map(({ run }) => run)]
    this.waiting = []
    this.running = []
    for (const run of failed) run.onEnd("failed")
  }

  /** Starts a stopped engine again, without adapters. */
  start(): void {
    this.isDown = false
    this.latestReport = this.createReport()
  }

  private createReport(): EngineReport {
    return {
      endpoint: this.id,
      incarnation: String(this.incarnation),
      running: this.running.length,
      waiting: this.waiting.length,
      resident: [...this.resident.keys()],
      cacheUsage: this.running.length / BATCH_LIMIT,
    }
  }

  private admit(): void {
    while (this.running.length < this.speed.batchLimit) {
      const run = this.waiting.shift()
      if (!run) break
      if ((run.expiresAt ?? Infinity) < this.simulation.now) continue
      this.running.push({ run, readyAt: this.simulation.now + PREFILL_MS, generatedTokens: 0 })
    }
    if (this.isStepping || this.running.length === 0) return
    this.isStepping = true
    const stepMs = STEP_MS + this.speed.stepMsPerRequest * this.running.length
    this.simulation.schedule(stepMs, () => {
      this.isStepping = false
      this.step()
    })
  }

  private step(): void {
    this.counters.steps++
    const ended: EngineRun[] = []
    for (const active of this.running) {
      if (active.readyAt > this.simulation.now) continue
      active.generatedTokens++
      this.counters.tokens++
      if (active.generatedTokens === 1) active.run.onFirstToken()
      if (active.generatedTokens >= active.run.tokens) ended.push(active.run)
    }
    this.running = this.running.filter(({ run }) => !ended.includes(run))
    for (const run of ended) run.onEnd("done")
    this.admit()
  }
}
