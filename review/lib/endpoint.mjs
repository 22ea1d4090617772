// A stand-in of an engine or a plain service, by PROTOCOL.md: it answers requests,
// orders and reports, and records which requests it ran on which adapter version.
import { createServer } from "node:http"
import { sleep } from "./store.mjs"

const UNLOAD_DONE = 200
const RECENT_FACTOR = 10
const MAX_RECENT_COUNT = 84

export class Endpoint {
  /** Requests that ran: {attempt, adapter, version, at}. */
  runs = []
  /** Orders as they arrived: {at, holder, fence, kind, adapter, status}. */
  orders = []
  /** Late copies that were sent: {at, attempt, before}, where `before` is the request whose answer was due. */
  copies = []
  adapters = new Map()
  sequence = 0
  born = Date.now()
  state = "ready"
  /** Time of a load of an adapter, in ms. */
  loadMs = 250
  /** Adapters that the engine held recently, which load ten times as fast. */
  recent = new Set()
  /** The newest version of each adapter, which a load without a version fetches. */
  newest = new Map()
  workMs = 20
  /** Time after which an order is answered, in ms. */
  orderMs = 0
  /** Every how many orders one is answered after `slowOrderMs` instead. */
  slowOrderInterval = Infinity
  slowOrderMs = 60
  eventCount = 6
  eventGapMs = 10
  /** Orders to load that the places for adapters don't hold: {at, adapter, held}. */
  excessLoads = []
  /** Returns whether a copy of the answer to an order comes late, where the next answer on its channel is expected. */
  shouldRepeatOrder = () => false
  /** Number of answers to requests of clients. */
  answerCount = 0
  /** Returns whether a copy of an answer with this status comes late, where the next answer on its channel is expected. */
  shouldRepeat = () => false

  constructor(id, { model, slots = 24, adapterSlots = 14, zone = "zone-a", service }) {
    Object.assign(this, { id, model, slots, adapterSlots, zone, service })
  }

  async start() {
    this.server = createServer((request, response) => void this.handle(request, response))
    this.server.keepAliveTimeout = 30_000
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  stop() {
    this.server.close()
    this.server.closeAllConnections()
  }

  buildRegistration() {
    const { service, address, zone, slots, state, born, sequence } = this
    const entry = {
      service,
      address,
      zone,
      version: "1",
      slots,
      state,
      cold_left_ms: 0,
      sequence,
      born,
    }
    return this.model === undefined
      ? entry
      : { ...entry, stage: "colocated", models: this.listModels() }
  }

  listModels() {
    const adapters = [...this.adapters]
      .filter(([, { isHeld }]) => isHeld)
      .map(([name, { version }]) => `${name}@${version}`)
    return [{ name: this.model, version: 1, adapters }]
  }

  async handle(request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const { headers } = request
    const echo = headers["attempt-id"] === undefined ? {} : { "Attempt-Id": headers["attempt-id"] }
    const expected = headers["expect-instance"]
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echo, "Instance-Id": this.id, "Not-Run": "1" }).end()
      return
    }
    if (request.url === "/-/order")
      await this.onOrder(JSON.parse(Buffer.concat(chunks).toString()), request, response)
    else if (request.url === "/-/report") this.sendReport(response)
    else await this.run(request, response, echo)
  }

  sendReport(response) {
    const coming = [...this.adapters]
      .filter(([, { isHeld }]) => !isHeld)
      .map(([name, { version }]) => `${this.model}/${name}@${version}`)
    response.writeHead(200, { "Content-Type": "application/json" })
    response.end(
      JSON.stringify({
        stage: "colocated",
        models: this.listModels(),
        coming,
        busy: false,
        sequence: this.sequence,
        queue_depth: 0,
        in_flight: 0,
        kv_used: 0,
        kv_total: 200_000,
        handles: 0,
        born: this.born,
      }),
    )
  }

  async onOrder(order, request, response) {
    const { op_kind, adapter, version, precondition, holder, fence_token } = order
    const { orderCopy } = request.socket
    delete request.socket.orderCopy
    const status = this.applyOrder(op_kind, adapter, version, precondition)
    this.orders.push({
      at: performance.now(),
      holder,
      fence: fence_token,
      kind: op_kind,
      adapter,
      precondition,
      status,
      misread: orderCopy,
    })
    if (orderCopy !== undefined) request.socket.write(formatOrderAnswer(orderCopy))
    const isSlow = this.orders.length % this.slowOrderInterval === 0
    const ms = isSlow ? this.slowOrderMs : this.orderMs
    if (ms > 0) await sleep(ms)
    response.writeHead(status, { "Content-Length": "0" }).end()
    if (this.shouldRepeatOrder(op_kind, status)) request.socket.orderCopy = status
  }

  applyOrder(kind, adapter, version, precondition) {
    if (adapter === undefined) return 200
    const wanted = version ?? this.newest.get(adapter) ?? 1
    const known = this.adapters.get(adapter)
    if (kind === "load" && known?.version === wanted) return known.isHeld ? 200 : 202
    if (kind === "unload" && !known) return UNLOAD_DONE
    if (kind === "unload" && known.isLeaving) return 202
    if (precondition !== undefined && precondition !== this.sequence) return 409
    this.sequence++
    if (kind === "unload") return this.unload(adapter, known)
    if (!known && this.adapters.size >= this.adapterSlots)
      this.excessLoads.push({ at: performance.now(), adapter, held: this.adapters.size })
    const entry = { version: wanted, isHeld: false, isLeaving: false, runCount: 0 }
    this.adapters.set(adapter, entry)
    const ms = this.recent.has(adapter) ? this.loadMs / RECENT_FACTOR : this.loadMs
    setTimeout(() => (entry.isHeld = true), ms)
    return 202
  }

  /** Unloads an adapter: at once, or when its last run ends. */
  unload(adapter, entry) {
    if (entry.runCount > 0) {
      entry.isLeaving = true
      return 202
    }
    this.adapters.delete(adapter)
    this.addRecent(adapter)
    return UNLOAD_DONE
  }

  addRecent(adapter) {
    this.recent.delete(adapter)
    this.recent.add(adapter)
    if (this.recent.size > MAX_RECENT_COUNT) this.recent.delete(this.recent.values().next().value)
  }

  /** Sends the copy of an earlier answer on this channel, if there is one, before the answer to the next request. */
  sendLateCopy(request) {
    const { lateCopy } = request.socket
    if (lateCopy === undefined) return
    delete request.socket.lateCopy
    this.copies.push({
      at: performance.now(),
      attempt: lateCopy.attempt,
      before: request.headers["attempt-id"],
    })
    request.socket.write(lateCopy.text)
  }

  async run(request, response, echo) {
    const { headers } = request
    const [model = "", adapter] = String(headers.model ?? "").split("/")
    const held = adapter === undefined ? undefined : this.adapters.get(adapter)
    const isMissing =
      model !== "" && (model !== this.model || (adapter !== undefined && !held?.isHeld))
    const wanted = headers["expect-version"]
    this.sendLateCopy(request)
    this.answerCount++
    if (isMissing || (wanted !== undefined && held && Number(wanted) !== held.version)) {
      response
        .writeHead(421, { ...echo, "Instance-Id": this.id, "Not-Run": "1", "Content-Length": "0" })
        .end()
      if (this.shouldRepeat(421)) {
        const lines = [
          "HTTP/1.1 421 Misdirected Request",
          `Attempt-Id: ${headers["attempt-id"]}`,
          `Instance-Id: ${this.id}`,
          "Not-Run: 1",
          "Content-Length: 0",
        ]
        request.socket.lateCopy = {
          attempt: headers["attempt-id"],
          text: `${lines.join("\r\n")}\r\n\r\n`,
        }
      }
      return
    }
    const run = {
      attempt: headers["attempt-id"],
      adapter,
      version: held?.version,
      at: performance.now(),
      path: request.url,
    }
    this.runs.push(run)
    await sleep(this.workMs)
    const answer = { ...echo, "Server-Seal": `seal.${this.id}`, "Server-Load": `1,0,${this.slots}` }
    if (model === "") {
      response.writeHead(200, answer).end(`answer of ${this.id} to ${headers["attempt-id"]}`)
      return
    }
    response.writeHead(200, {
      ...answer,
      "Content-Type": "text/event-stream",
      "Weight-Versions": String(held?.version ?? 1),
    })
    const first = Number(headers["last-event-id"] ?? 0) + 1
    for (let number = first; number <= this.eventCount && !response.destroyed; number++) {
      response.write(`id: ${number}\ndata: token ${number}\n\n`)
      await sleep(this.eventGapMs)
    }
    response.end()
    this.endRun(adapter, held)
  }

  endRun(adapter, entry) {
    if (!entry) return
    entry.runCount--
    if (!entry.isLeaving || entry.runCount > 0 || this.adapters.get(adapter) !== entry) return
    this.adapters.delete(adapter)
    this.addRecent(adapter)
  }
}

function formatOrderAnswer(status) {
  const reason = status === 202 ? "Accepted" : "OK"
  return `HTTP/1.1 ${status} ${reason}\r\nContent-Length: 0\r\n\r\n`
}
