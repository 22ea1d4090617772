// Starts the instances of the deploy file as processes of their own, with its
// command and its template of settings, and sends requests to them.
import { spawn } from "node:child_process"
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs"
import { Agent, request as sendHttp } from "node:http"
import { createServer } from "node:net"
import { tmpdir } from "node:os"
import { join } from "node:path"
import { fileURLToPath } from "node:url"
import { sleep } from "./store.mjs"

export const ROOT = fileURLToPath(new URL("../../", import.meta.url))
export const HOST = "calls.example"
export const MODEL = "base"

/** Bounds of the site dagat-init, as its sheet has them. */
export const SMALL_BOUNDS = {
  lease_ms: 3000,
  version_ms: 5000,
  drain_ms: 2000,
  grace_s: 8,
  budget_ratio: 0.2,
  budget_window_s: 10,
  retry_slack: 58,
}

export function buildRoute(name, kind, service, more = {}) {
  const times = { timeout_ms: 5000, goal_ms: 500, max_attempts: 2, priority: 0 }
  return { name, host: HOST, path_prefix: `/${name}/`, kind, service, ...times, ...more }
}

export function buildConfiguration(version, routes, adapters = 3000) {
  const model = { name: MODEL, weights_mb: 72_700, load_s: 2.1, adapters, adapter_mb: 66 }
  const engine = { slots: 24, adapter_slots: 14, weights_mb: 75_100, models: [model] }
  return {
    version,
    routes,
    services: [
      { name: "assistant", max_conns: 210, engine },
      { name: "desk", max_conns: 110 },
      { name: "desk-two", max_conns: 110 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  }
}

const FIRST_PORT = 15_000
const PORT_COUNT = 17_000
let nextPort = Math.floor(Math.random() * PORT_COUNT)

/** Finds a free port below the range from which the system takes those of outgoing connections. */
async function findFreePort() {
  for (;;) {
    nextPort = (nextPort + 1) % PORT_COUNT
    const port = FIRST_PORT + nextPort
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false))
      server.listen(port, "127.0.0.1", () => resolve(true))
    })
    if (!isFree) continue
    await new Promise((resolve) => server.close(resolve))
    return port
  }
}

export class Fleet {
  instances = []

  constructor(bounds, zones = ["zone-a", "zone-a", "zone-b", "zone-c"]) {
    this.bounds = bounds
    this.zones = zones
    this.folder = mkdtempSync(join(tmpdir(), "galenaway-review-"))
  }

  /** `chooseStore` returns the store's address for an instance, for example that of a proxy. */
  async start(chooseStore, seedsOf = (seeds) => seeds) {
    const run = readFileSync(join(ROOT, "deploy/system.toml"), "utf8")
      .match(/^run = "(.*)"$/m)[1]
      .split(" ")
    const template = readFileSync(join(ROOT, "deploy/entry.settings"), "utf8")
    const ports = []
    for (const zone of this.zones)
      ports.push({
        zone,
        front: await findFreePort(),
        ready: await findFreePort(),
        control: await findFreePort(),
        metrics: await findFreePort(),
      })
    const seeds = seedsOf(ports.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`)).join(",")
    ports.forEach((port, index) => {
      const id = `front-${port.zone}-${index + 1}`
      const values = {
        node_name: id,
        zone: port.zone,
        ip: "127.0.0.1",
        "listen.front": `127.0.0.1:${port.front}`,
        "listen.ready": `127.0.0.1:${port.ready}`,
        "listen.control": `127.0.0.1:${port.control}`,
        "platform.address": chooseStore(index),
        seeds,
        ...Object.fromEntries(
          Object.entries(this.bounds).map(([name, value]) => [`bounds.${name}`, value]),
        ),
      }
      const text = template
        .replace("{{ip}}:9464", `127.0.0.1:${port.metrics}`)
        .replace(/\{\{([^}]+)\}\}/g, (_all, name) => String(values[name] ?? ""))
      const settings = join(this.folder, `${id}.settings`)
      writeFileSync(settings, text)
      const instance = { id, index, ...port, settings, run, isStopping: false, exits: [] }
      this.instances.push(instance)
      this.spawn(instance)
    })
  }

  spawn(instance) {
    const output = openSync(join(this.folder, `${instance.id}.log`), "a")
    const { PATH, HOME, LANG } = process.env
    const [program, ...words] = instance.run
    const env = { PATH, HOME, LANG, GALENAWAY_BOOT: instance.settings }
    const child = spawn(program === "node" ? process.execPath : program, words, {
      cwd: ROOT,
      env,
      stdio: ["ignore", output, output],
    })
    instance.child = child
    child.once("exit", (code, signal) => {
      instance.exits.push({ at: performance.now(), code, signal })
      // The platform starts an instance again after a short delay.
      if (!instance.isStopping) setTimeout(() => this.spawn(instance), instance.restartMs ?? 300)
    })
  }

  async isReady(instance) {
    const { status } = await send(`127.0.0.1:${instance.ready}`, "GET", "/-/ready", {}, 1000)
    return status === 200
  }

  async waitUntilReady(ms = 20_000) {
    const endsAt = performance.now() + ms
    for (const instance of this.instances)
      while (!(await this.isReady(instance))) {
        if (performance.now() > endsAt) return false
        await sleep(100)
      }
    return true
  }

  async stop() {
    for (const instance of this.instances) {
      instance.isStopping = true
      clearTimeout(instance.timer)
      instance.child.kill("SIGKILL")
    }
    await sleep(400)
    for (const instance of this.instances) instance.child.kill("SIGKILL")
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}

let attemptCount = 0

export function createAttemptId() {
  attemptCount++
  return `${process.pid.toString(16).padStart(8, "0")}${attemptCount.toString(16).padStart(8, "0")}`
}

/** Sends one request on a new connection. `status` is 0 if no complete answer came. */
export function send(address, method, path, headers, timeoutMs, body) {
  const [host, port] = address.split(":")
  return new Promise((resolve) => {
    const agent = new Agent({ keepAlive: false })
    const request = sendHttp({
      host,
      port,
      method,
      path,
      headers: { Host: HOST, ...headers },
      agent,
      timeout: timeoutMs,
    })
    const finish = (result) => {
      clearTimeout(timer)
      request.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => finish({ status: 0, error: "timeout" }), timeoutMs)
    request.on("error", (error) => finish({ status: 0, error: error.message }))
    request.on("response", (response) => {
      const chunks = []
      response.on("data", (chunk) => chunks.push(chunk))
      response.on("error", (error) => finish({ status: 0, error: error.message }))
      response.on("end", () =>
        finish({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      )
    })
    request.end(body)
  })
}

/** Sends a client's request to an instance. */
export function call(instance, method, path, headers = {}, deadlineMs = 5000, body = undefined) {
  const attempt = createAttemptId()
  const all = { "Attempt-Id": attempt, "Deadline-Ms": String(deadlineMs), ...headers }
  return send(`127.0.0.1:${instance.front}`, method, path, all, deadlineMs + 1000, body).then(
    (result) => ({ attempt, ...result }),
  )
}

/** A record of a run, written to a file at the end. */
export class Journal {
  lines = []
  startedAt = performance.now()

  write(text) {
    const line = `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`
    this.lines.push(line)
    if (process.env.ECHO !== undefined) console.log(line)
  }

  save(file) {
    writeFileSync(file, `${this.lines.join("\n")}\n`)
  }
}

/** Runs a case, with its disruption if `isTrouble`, and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, isTrouble, play) {
  const journal = new Journal()
  const cleanups = []
  const limit = setTimeout(() => void finish(2, "the case took too long"), 110_000)
  let isFinished = false
  async function finish(code, text) {
    if (isFinished) return
    isFinished = true
    clearTimeout(limit)
    journal.write(text)
    journal.save(join(folder, "record.txt"))
    for (const cleanup of cleanups.reverse()) await cleanup()
    console.log(text)
    process.exit(code)
  }
  for (const signal of ["SIGINT", "SIGTERM"])
    process.on(signal, () => void finish(2, `ended by ${signal}`))
  try {
    journal.write(isTrouble ? "with the disruption" : "without the disruption")
    const verdict = await play({ journal, isTrouble, onEnd: (cleanup) => cleanups.push(cleanup) })
    await finish(verdict.isBroken ? 1 : 0, verdict.text)
  } catch (error) {
    await finish(2, `the case couldn't run: ${error.stack}`)
  }
}
