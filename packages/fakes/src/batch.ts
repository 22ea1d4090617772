import { randomUUID } from "node:crypto"
import type { StreamPart } from "@galenaway/core"

/** How fast an engine runs. Times are in milliseconds. */
export interface BatchOptions {
  /** Time of one step that makes a token for each running request. */
  readonly stepMs: number
  /** Added time of a step for each running request. */
  readonly stepMsPerRequest: number
  /** Time from the start of a request to its first token, besides the step. */
  readonly prefillMs: number
  /** Requests that run at once; others wait, the most urgent first. */
  readonly batchLimit: number
}

/** One request's run on an engine. Its parts are kept, so that it can be resumed. */
export interface EngineRun {
  readonly request: string
  readonly adapter: string
  readonly id: string
  readonly priority: number
  readonly tokens: number
  readonly parts: StreamPart[]
  readonly listeners: Set<() => void>
  state: "waiting" | "running" | "done" | "canceled"
  prefillEndsAt: number
}

/** A continuous batch: each step gives every running request one more token. */
export class ContinuousBatch {
  private readonly waiting: EngineRun[] = []
  private readonly running = new Set<EngineRun>()
  private timer: NodeJS.Timeout | undefined
  /** Runs by request, kept after their end so that they can be resumed. */
  readonly runs = new Map<string, EngineRun>()

  constructor(private readonly rate: BatchOptions) {}

  get runningCount(): number {
    return this.running.size
  }

  get waitingCount(): number {
    return this.waiting.length
  }

  /** Tells whether a running or waiting request uses an adapter. */
  isAdapterInUse(adapter: string): boolean {
    return [...this.running, ...this.waiting].some((run) => run.adapter === adapter)
  }

  /** Queues a request. */
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

  /** Stops a request's run. */
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

  /** Drops every run, as a restart of the engine does. */
  clear(): void {
    for (const request of [...this.runs.keys()]) this.cancel(request)
    this.runs.clear()
  }

  private admit(): void {
    while (this.running.size < this.rate.batchLimit) {
      const run = this.waiting.shift()
      if (!run) break
      run.state = "running"
      run.prefillEndsAt = performance.now() + this.rate.prefillMs
      this.running.add(run)
    }
    if (this.running.size > 0 && !this.timer) this.schedule()
  }

  private schedule(): void {
    const ms = this.rate.stepMs + this.rate.stepMsPerRequest * this.running.size
    this.timer = setTimeout(() => {
      this.step()
    }, ms)
  }

  private step(): void {
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

/** Yields a run's parts after a sequence number, waiting for those to come. */
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

/** Returns the text of one token. It depends on the request, so that a spliced answer shows. */
export function formatToken(request: string, sequence: number): string {
  return `${request}.${sequence} `
}

function waitForPart(run: EngineRun): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      run.listeners.delete(wake)
      resolve()
    }
    run.listeners.add(wake)
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
  for (const wake of [...run.listeners]) wake()
}
