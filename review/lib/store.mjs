// A stand-in of the platform's metadata store, by PROTOCOL.md. Reads of ranges
// come in pages of at most 500 items; each page has the revision at which it was
// read. Leases expire, watches wait, the history can be forgotten.
import { createServer } from "node:http"

const PAGE_ITEMS = 500
const SWEEP_MS = 50

export class Store {
  items = new Map()
  leases = new Map()
  history = []
  revision = 1
  compactedAt = 0
  nextLease = 1
  /** Time of an answer, in ms. */
  answerMs = 4
  /** Watches that began before this time hear nothing until `releaseWatches`. */
  areWatchesDeaf = false
  /** How far stale reads (`serializable`) are behind, in ms. */
  staleMs = 0
  /** All values of the keys under `servers/`, for stale reads: {at, key, item}. */
  log = []
  /** Whether each call is reset. */
  isDown = false
  /** Set of client ports whose connections are silent for good. */
  silentSockets = new Set()
  sockets = new Set()
  waiters = new Set()
  /** Called with each range read, for the record. */
  onCall = () => undefined

  async start() {
    this.server = createServer((request, response) => void this.handle(request, response))
    this.server.keepAliveTimeout = 30_000
    this.server.on("connection", (socket) => {
      this.sockets.add(socket)
      socket.on("error", () => undefined)
      socket.once("close", () => this.sockets.delete(socket))
    })
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    this.timer = setInterval(() => this.expireLeases(), SWEEP_MS)
  }

  stop() {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  put(key, value, lease = 0) {
    this.revision++
    const text = Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString(
      "base64",
    )
    const known = this.items.get(key)
    const item = {
      key,
      value: text,
      revision: this.revision,
      create_revision: known?.create_revision ?? this.revision,
      lease,
    }
    if (!known) this.sortedKeys = undefined
    this.items.set(key, item)
    this.addEvent(item)
    return this.revision
  }

  remove(key) {
    if (!this.items.delete(key)) return
    this.sortedKeys = undefined
    this.revision++
    this.addEvent({ key, revision: this.revision, tombstone: true })
  }

  addEvent(event) {
    if (event.key.startsWith("servers/")) {
      const item = event.tombstone ? undefined : event
      this.log.push({ at: performance.now(), key: event.key, revision: event.revision, item })
    }
    this.history.push(event)
    if (this.history.length > 100_000) this.history.splice(0, 50_000)
    if (this.areWatchesDeaf) return
    for (const waiter of [...this.waiters]) waiter()
  }

  /** Forgets the history: watches from before get 410. */
  compact() {
    this.history = []
    this.compactedAt = this.revision
    this.areWatchesDeaf = false
    for (const waiter of [...this.waiters]) waiter()
  }

  /** Makes all open connections silent for good; new ones work. */
  silenceConnections() {
    for (const socket of this.sockets) {
      this.silentSockets.add(socket)
      socket.pause()
    }
  }

  /** Resets all connections, and those that come, until `end`. */
  setDown(isDown) {
    this.isDown = isDown
    if (isDown) for (const socket of this.sockets) socket.resetAndDestroy()
  }

  expireLeases() {
    if (this.isDown) return
    const now = performance.now()
    for (const [id, lease] of this.leases) if (lease.endsAt <= now) this.endLease(id)
  }

  endLease(id) {
    this.leases.delete(id)
    for (const [key, item] of this.items) if (item.lease === id) this.remove(key)
  }

  async handle(request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (this.isDown) {
      request.socket.resetAndDestroy()
      return
    }
    const url = new URL(request.url, "http://store")
    const [, , operation, id] = url.pathname.split("/")
    const query = url.searchParams
    if (operation !== "kv-watch") await sleep(this.answerMs)
    const reply =
      operation === "kv-watch"
        ? await this.watch(query, request)
        : this.answer(operation, Number(id), query, Buffer.concat(chunks).toString())
    if (this.isDown || this.silentSockets.has(request.socket)) return
    this.onCall(operation, query, reply)
    response.writeHead(reply.status, { "Content-Type": "application/json", "Store-Era": 1 })
    response.end(JSON.stringify(reply.body))
  }

  answer(operation, id, query, body) {
    switch (operation) {
      case "kv-key": {
        const item = this.items.get(query.get("key"))
        return item
          ? { status: 200, body: { ...item, as_of: this.revision } }
          : { status: 404, body: {} }
      }
      case "kv-range":
        return this.readRange(query)
      case "kv-txn":
        return this.change(JSON.parse(body))
      case "kv-lease": {
        const { ttl_ms } = JSON.parse(body)
        const lease = this.nextLease++
        this.leases.set(lease, { ttlMs: ttl_ms, endsAt: performance.now() + ttl_ms })
        return { status: 200, body: { lease, ttl_ms } }
      }
      case "kv-keep": {
        const lease = this.leases.get(id)
        if (!lease) return { status: 404, body: {} }
        lease.endsAt = performance.now() + lease.ttlMs
        return { status: 200, body: {} }
      }
      case "kv-lease-end":
        this.endLease(id)
        return { status: 200, body: {} }
      default:
        return { status: 404, body: {} }
    }
  }

  readRange(query) {
    const prefix = query.get("path_prefix") ?? ""
    const isStale = query.get("serializable") === "1" && prefix === "servers/" && this.staleMs > 0
    return isStale ? this.readStale() : this.readPage(prefix, query.get("after") ?? "")
  }

  /** Reads the keys under `servers/` as they were `staleMs` ago. */
  readStale() {
    const until = performance.now() - this.staleMs
    const known = new Map()
    let asOf = 1
    for (const { at, key, revision, item } of this.log) {
      if (at > until) break
      asOf = revision
      if (item) known.set(key, item)
      else known.delete(key)
    }
    const items = [...known.keys()].sort().map((key) => known.get(key))
    return { status: 200, body: { items, more_pages: false, as_of: asOf } }
  }

  readPage(prefix, after) {
    this.sortedKeys ??= [...this.items.keys()].sort()
    const keys = this.sortedKeys.filter((key) => key.startsWith(prefix) && key > after)
    const items = keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key))
    return {
      status: 200,
      body: { items, more_pages: keys.length > PAGE_ITEMS, as_of: this.revision },
    }
  }

  change({ precondition = [], puts = [], remove = [] }) {
    const isMet = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    )
    if (!isMet) {
      const items = precondition.flatMap(({ key }) => this.items.get(key) ?? [])
      return { status: 412, body: { items } }
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease)))
      return { status: 404, body: {} }
    for (const { key, value, lease = 0 } of puts)
      this.put(key, Buffer.from(value, "base64").toString(), lease)
    for (const key of remove) this.remove(key)
    return { status: 200, body: { revision: this.revision } }
  }

  async watch(query, request) {
    const prefix = query.get("path_prefix") ?? ""
    const after = Number(query.get("after"))
    const endsAt = performance.now() + Number(query.get("wait_ms"))
    for (;;) {
      if (after < this.compactedAt) {
        await sleep(this.answerMs)
        return { status: 410, body: {} }
      }
      const events = this.areWatchesDeaf
        ? []
        : this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
      const left = endsAt - performance.now()
      if (events.length > 0 || left <= 0 || request.socket.destroyed) {
        const asOf = this.areWatchesDeaf ? after : this.revision
        await sleep(this.answerMs)
        return { status: 200, body: { events, as_of: asOf } }
      }
      await this.waitForEvent(left)
    }
  }

  waitForEvent(ms) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.waiters.add(done)
    })
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
