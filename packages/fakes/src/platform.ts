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

const VALUE_LIMIT_BYTES = 1024 * 1024
const DEFAULT_WAIT_MS = 10_000

/** Settings of the platform's service. */
export interface PlatformOptions {
  readonly port?: number
  /** How far the list of instances and endpoints lags, in milliseconds. */
  readonly listLagMs?: number
}

/** What a test may switch on at the platform's service. */
export interface PlatformFaults {
  /** Answer every call with 503. */
  down: boolean
  /** Added time of each call in milliseconds. */
  delayMs: number
  /** Let this many writes take effect and drop the reply. */
  loseReplies: number
}

interface Entry {
  value: string
  revision: number
  session: string | undefined
}

interface Session {
  readonly ttlMs: number
  readonly holder: string
  expiresAt: number
}

interface State {
  readonly entries: Map<string, Entry>
  readonly sessions: Map<string, Session>
  readonly watchers: Set<() => void>
  revision: number
}

/** A running platform service. */
export interface FakePlatform extends RunningServer {
  readonly faults: PlatformFaults
  /** Counted calls; a waiting watch is one. */
  readonly counters: { reads: number; writes: number; watches: number }
  /** Changes the list; readers see it after the lag. */
  setListEntry(listing: PlatformListEntry): void
}

/**
 * Starts the platform's service: a key-value service with the HTTP form of
 * Consul's KV store, sessions and blocking queries, and a lagging list of
 * instances and endpoints.
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<FakePlatform> {
  const faults: PlatformFaults = { down: false, delayMs: 0, loseReplies: 0 }
  const counters = { reads: 0, writes: 0, watches: 0 }
  const state: State = {
    entries: new Map(),
    sessions: new Map(),
    watchers: new Set(),
    revision: 0,
  }
  const listings = createLaggingList(options.listLagMs ?? 1000)
  const app = new App()
  addFaultSwitches(app, faults)
  app.get("/counters", (_request, response) => {
    sendJson(response, 200, counters)
  })
  app.post("/v1/catalog", async (request, response) => {
    listings.set((await readJson(request)) as PlatformListEntry)
    sendJson(response, 200, true)
  })
  app.use(async (_request, response, next) => {
    await wait(faults.delayMs)
    if (faults.down) sendJson(response, 503, { error: "platform down" })
    else next()
  })
  app.get("/v1/catalog", (_request, response) => {
    counters.reads++
    sendJson(response, 200, listings.read())
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
    const session = readSession(state, request.params.id ?? "")
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
      const waitLimit = Number.parseFloat(String(request.query.wait ?? "10s")) * 1000
      await waitForChange(state, getKey(request), index, waitLimit || DEFAULT_WAIT_MS)
    } else {
      counters.reads++
    }
    sendEntry(state, getKey(request), response)
  })
  app.put("/v1/kv/*", async (request, response) => {
    counters.writes++
    const value = await readBody(request)
    if (value.length > VALUE_LIMIT_BYTES) {
      sendJson(response, 413, { error: "value too large" })
      return
    }
    const written = writeEntry(state, getKey(request), value, request)
    if (faults.loseReplies > 0) {
      faults.loseReplies--
      request.socket.destroy()
      return
    }
    sendJson(response, 200, written)
  })
  const server = await startServer(app, options.port ?? 0)
  return { ...server, faults, counters, setListEntry: listings.set }
}

function getKey(request: Request): string {
  return decodeURIComponent(request.path.replace(/^\/v1\/kv\//, ""))
}

function readSession(state: State, id: string): Session | undefined {
  const session = state.sessions.get(id)
  if (session && session.expiresAt < Date.now()) {
    state.sessions.delete(id)
    return undefined
  }
  return session
}

function sendEntry(state: State, key: string, response: Response): void {
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

function writeEntry(state: State, key: string, value: string, request: Request): boolean {
  const entry = state.entries.get(key)
  const { cas, acquire } = request.query
  if (cas !== undefined && Number(cas) !== (entry?.revision ?? 0)) return false
  let session = entry?.session
  if (typeof acquire === "string") {
    const holder = session === undefined ? undefined : readSession(state, session)
    if (holder && session !== acquire) return false
    if (!readSession(state, acquire)) return false
    session = acquire
  }
  state.entries.set(key, { value, revision: ++state.revision, session })
  for (const wake of [...state.watchers]) wake()
  return true
}

async function waitForChange(state: State, key: string, index: number, waitMsLimit: number) {
  const deadline = Date.now() + waitMsLimit
  while ((state.entries.get(key)?.revision ?? 0) <= index && Date.now() < deadline) {
    await new Promise<void>((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        state.watchers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, deadline - Date.now())
      state.watchers.add(wake)
    })
  }
}

function createLaggingList(lagMs: number) {
  const truth = new Map<string, PlatformListEntry>()
  const visible = new Map<string, PlatformListEntry>()
  return {
    set: (listing: PlatformListEntry) => {
      truth.set(listing.id, listing)
      setTimeout(() => {
        visible.set(listing.id, listing)
      }, lagMs).unref()
    },
    read: () => [...visible.values()],
  }
}
