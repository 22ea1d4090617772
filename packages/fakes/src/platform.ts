import { randomUUID } from "node:crypto"
import { App, type Request, type Response } from "@tinyhttp/app"
import type { PlatformListEntry } from "@galenaway/core"
import {
  addFaultSwitches,
  readBody,
  readJson,
  type RunningServer,
  sendJson,
  startServer,
  wait,
} from "./server.js"

const MAX_VALUE_BYTES = 1024 * 1024
const DEFAULT_WAIT_MS = 10_000

/** Options of the platform's service. */
export interface PlatformOptions {
  readonly port?: number
  /**
   * Time in milliseconds until a change to the list of instances and endpoints
   * becomes visible; 1000 by default.
   */
  readonly listLagMs?: number
}

/**
 * Faults that a test can inject into the platform's service. `down` and `delayMs` do not
 * affect `/faults`, `/counters` and `POST /v1/catalog`, which the daemons do not call.
 */
export interface PlatformFaults {
  /** Answer every call with 503. */
  down: boolean
  /** Additional time of each call in milliseconds. */
  delayMs: number
  /**
   * Number of the next writes that take effect, but whose connection is closed
   * without a reply.
   */
  loseReplies: number
}

interface StoredEntry {
  value: string
  revision: number
  session: string | undefined
}

interface Session {
  readonly ttlMs: number
  readonly holder: string
  expiresAt: number
}

interface PlatformState {
  readonly entries: Map<string, StoredEntry>
  readonly sessions: Map<string, Session>
  readonly watchers: Set<() => void>
  revision: number
}

/** A running platform service. */
export interface FakePlatform extends RunningServer {
  readonly faults: PlatformFaults
  /** Number of calls; each blocking query counts as one watch. */
  readonly counters: { reads: number; writes: number; watches: number }
  /** Adds or replaces an entry of the list; readers receive it after the lag. */
  setListEntry(entry: PlatformListEntry): void
}

/**
 * Starts a stand-in for the platform's service: a key-value store with
 * sessions and blocking queries, with the HTTP interface of Consul, and a list
 * of instances and endpoints whose changes become visible after a delay.
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<FakePlatform> {
  const faults: PlatformFaults = { down: false, delayMs: 0, loseReplies: 0 }
  const counters = { reads: 0, writes: 0, watches: 0 }
  const state: PlatformState = {
    entries: new Map(),
    sessions: new Map(),
    watchers: new Set(),
    revision: 0,
  }
  const list = createDelayedList(options.listLagMs ?? 1000)
  const app = new App()
  addFaultSwitches(app, faults)
  app.get("/counters", (_request, response) => {
    sendJson(response, 200, counters)
  })
  app.post("/v1/catalog", async (request, response) => {
    list.set((await readJson(request)) as PlatformListEntry)
    sendJson(response, 200, true)
  })
  app.use(async (_request, response, next) => {
    await wait(faults.delayMs)
    if (faults.down) sendJson(response, 503, { error: "platform down" })
    else next()
  })
  app.get("/v1/catalog", (_request, response) => {
    counters.reads++
    sendJson(response, 200, list.read())
  })
  app.put("/v1/session/create", async (request, response) => {
    counters.writes++
    const { TTL, Name } = (await readJson(request)) as { TTL: string; Name: string }
    const id = randomUUID()
    const ttlMs = Number.parseFloat(TTL) * 1000
    state.sessions.set(id, { ttlMs, holder: Name, expiresAt: Date.now() + ttlMs })
    sendJson(response, 200, { ID: id })
  })
  app.put("/v1/session/renew/:id", (request, response) => {
    counters.writes++
    const session = findSession(state, request.params.id ?? "")
    if (session) session.expiresAt = Date.now() + session.ttlMs
    sendJson(response, session ? 200 : 404, [])
  })
  app.put("/v1/session/destroy/:id", (request, response) => {
    counters.writes++
    state.sessions.delete(request.params.id ?? "")
    sendJson(response, 200, true)
  })
  app.get("/v1/kv/*", async (request, response) => {
    const index = Number(request.query.index ?? 0)
    if (index > 0) {
      counters.watches++
      const waitMs = Number.parseFloat(String(request.query.wait ?? "10s")) * 1000
      await waitForChange(state, getKey(request), index, waitMs || DEFAULT_WAIT_MS)
    } else {
      counters.reads++
    }
    sendEntry(state, getKey(request), response)
  })
  app.put("/v1/kv/*", async (request, response) => {
    counters.writes++
    const value = await readBody(request)
    if (value.length > MAX_VALUE_BYTES) {
      sendJson(response, 413, { error: "value too large" })
      return
    }
    const isWritten = writeEntry(state, getKey(request), value, request)
    if (faults.loseReplies > 0) {
      faults.loseReplies--
      request.socket.destroy()
      return
    }
    sendJson(response, 200, isWritten)
  })
  const server = await startServer(app, options.port ?? 0)
  return { ...server, faults, counters, setListEntry: list.set }
}

function getKey(request: Request): string {
  return decodeURIComponent(request.path.replace(/^\/v1\/kv\//, ""))
}

function findSession(state: PlatformState, id: string): Session | undefined {
  const session = state.sessions.get(id)
  if (session && session.expiresAt < Date.now()) {
    state.sessions.delete(id)
    return undefined
  }
  return session
}

function sendEntry(state: PlatformState, key: string, response: Response): void {
  const entry = state.entries.get(key)
  response.setHeader("X-Consul-Index", String(entry?.revision ?? Math.max(1, state.revision)))
  if (!entry) {
    sendJson(response, 404, [])
    return
  }
  const Value = Buffer.from(entry.value).toString("base64")
  sendJson(response, 200, [
    { Key: key, Value, ModifyIndex: entry.revision, Session: entry.session },
  ])
}

function writeEntry(state: PlatformState, key: string, value: string, request: Request): boolean {
  const entry = state.entries.get(key)
  const { cas, acquire } = request.query
  if (cas !== undefined && Number(cas) !== (entry?.revision ?? 0)) return false
  let session = entry?.session
  if (typeof acquire === "string") {
    const currentSession = session === undefined ? undefined : findSession(state, session)
    if (currentSession && session !== acquire) return false
    if (!findSession(state, acquire)) return false
    session = acquire
  }
  state.entries.set(key, { value, revision: ++state.revision, session })
  for (const notify of [...state.watchers]) notify()
  return true
}

async function waitForChange(state: PlatformState, key: string, index: number, timeoutMs: number) {
  const deadline = Date.now() + timeoutMs
  while ((state.entries.get(key)?.revision ?? 0) <= index && Date.now() < deadline) {
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer)
        state.watchers.delete(end)
        resolve()
      }
      const timer = setTimeout(end, deadline - Date.now())
      state.watchers.add(end)
    })
  }
}

function createDelayedList(lagMs: number) {
  const entries = new Map<string, PlatformListEntry>()
  const visibleEntries = new Map<string, PlatformListEntry>()
  return {
    set: (entry: PlatformListEntry) => {
      entries.set(entry.id, entry)
      setTimeout(() => {
        visibleEntries.set(entry.id, entry)
      }, lagMs).unref()
    },
    read: () => [...visibleEntries.values()],
  }
}
