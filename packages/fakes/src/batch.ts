import { randomUUID } from "node:crypto"
import type { StreamPart } from "@galenaway/core"

/** Speed and size of an engine's batch. Times are in milliseconds. */
export interface BatchOptions {
  /** Base time of a step, which generates one token for each running request. */
  readonly stepMs: number
  /** Additional time of a step for each running request. */
  readonly stepMsPerRequest: number
  /** Time from the start of a request until it takes part in steps. */
  readonly prefillMs: number
  /** Number of requests that run at once. The others wait, ordered by priority. */
  readonly batchLimit: number
}

/**
 * The run of one request on an engine. Its parts are kept, so that the stream
 * can be resumed.
 */
export interface EngineRun {
  readonly request: string
  readonly adapter: string
  /** Id of the run, which is sent in `x-run-id`. */
  readonly id: string
  /** A lower number starts first. */
  readonly priority: number
  /** Number of tokens to generate. */
  readonly tokens: number
  readonly parts: StreamPart[]
  /** Called after a new part and when the run is canceled. */
  readonly listeners: Set<() => void>
  state: "waiting" | "running" | "done" | "canceled"
  /** Time of `performance.now()` at which the prefill ends; 0 while the run is waiting. */
  prefillEndsAt: number
}

/** A continuous batch: each step generates one token for every running request. */
export class ContinuousBatch {
  private readonly waiting: EngineRun[] = []
  private readonly running = new Set<EngineRun>()
  private timer: NodeJS.Timeout | undefined
  /** Runs by request id. Ended runs are kept, so that their streams can be resumed. */
  readonly runs = new Map<string, EngineRun>()

  constructor(private readonly options: BatchOptions) {}

  get runningCount(): number {
    return this.running.size
  }

  get waitingCount(): number {
    return this.waiting.length
  }

  /** Returns whether a running or waiting request uses an adapter. */
  isAdapterInUse(adapter: string): boolean {
    return [...this.running, ...this.waiting].some((run) => run.adapter === adapter)
  }

  /** Queues a request; it starts immediately if the batch is not full. */
  submit(request: string, adapter: string, priority: number, tokens: number): EngineRun {
    const run: EngineRun = {
      request,
      adapter,
      id: randomUUID(),
      priority,
      tokens,
      parts: [],
      listeners: new Set(),
      state: "waiting",
      prefillEndsAt: 0,
    }
    this.runs.set(request, run)
    this.waiting.push(run)
    this.waiting.sort((a, b) => a.priority - b.priority)
    this.admit()
    return run
  }

  /** Cancels the run of a request. Has no effect on an unknown or completed run. */
  cancel(request: string): void {
    const run = this.runs.get(request)
    if (!run || run.state === "done") return
    run.state = "canceled"
    this.running.delete(run)
    const index = this.waiting.indexOf(run)
    if (index >= 0) this.waiting.splice(index, 1)
    notifyListeners(run)
    this.admit()
  }

  /** Cancels and removes all runs, as a restart of the engine does. */
  clear(): void {
    for (const request of [...this.runs.keys()]) this.cancel(request)
    this.runs.clear()
  }

  private admit(): void {
    while (this.running.size < this.options.batchLimit) {
      const run = this.waiting.shift()
      if (!run) break
      run.state = "running"
      run.prefillEndsAt = performance.now() + this.options.prefillMs
      this.running.add(run)
    }
    if (this.running.size > 0 && !this.timer) this.scheduleStep()
  }

  private scheduleStep(): void {
    const ms = this.options.stepMs + this.options.stepMsPerRequest * this.running.size
    this.timer = setTimeout(() => {
      this.runStep()
    }, ms)
  }

  private runStep(): void {
    this.timer = undefined
    const now = performance.now()
    for (const run of this.running) {
      if (run.prefillEndsAt > now) continue
      addNextPart(run)
      if (run.state === "done") this.running.delete(run)
      notifyListeners(run)
    }
    this.admit()
  }
}

/**
 * Yields the parts of a run after a sequence number and waits for new parts.
 * Ends after the "done" part, or when the run is canceled.
 */
export async function* readParts(
  run: EngineRun,
  afterSequence: number,
): AsyncGenerator<StreamPart> {
  let next = afterSequence
  for (;;) {
    const part = run.parts[next]
    if (part) {
      next++
      yield part
      if (part.kind === "done") return
    } else if (run.state === "canceled") return
    else await waitForPart(run)
  }
}

/**
 * Returns the text of a token. It contains the request id, so that tokens
 * of another answer can be detected.
 */
export function formatToken(request: string, sequence: number): string {
  return `${request}.${sequence} `
}

function waitForPart(run: EngineRun): Promise<void> {
  return new Promise((resolve) => {
    const listener = () => {
      run.listeners.delete(listener)
      resolve()
    }
    run.listeners.add(listener)
  })
}

function addNextPart(run: EngineRun): void {
  const sequence = run.parts.length + 1
  const source = { request: run.request, adapter: run.adapter, run: run.id } as StreamPart["source"]
  if (sequence > run.tokens) {
    run.parts.push({ kind: "done", sequence, finishReason: "stop", source })
    run.state = "done"
  } else
    run.parts.push({ kind: "token", sequence, text: formatToken(run.request, sequence), source })
}

function notifyListeners(run: EngineRun): void {
  for (const listener of [...run.listeners]) listener()
}
