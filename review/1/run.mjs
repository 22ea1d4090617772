// TWICE: engines send a second copy of an answer, late, where the next answer on the
// channel is expected. A request that was refused with 421 and is sent again to the
// same engine on the same channel takes the copy for its answer, and is sent once more.
import { dirname } from "node:path"
import { fileURLToPath } from "node:url"
import { Endpoint } from "../lib/endpoint.mjs"
import {
  buildConfiguration,
  buildRoute,
  call,
  Fleet,
  MODEL,
  runCase,
  SMALL_BOUNDS,
} from "../lib/fleet.mjs"
import { sleep, Store } from "../lib/store.mjs"

/** With TROUBLE=0 the case runs without its disruption. */
const IS_TROUBLE = process.env.TROUBLE !== "0"

const ADAPTER_COUNT = 110
const TRAFFIC_MS = 72_000
const REQUESTS_PER_S = 90
/** Largest dose of the site: for 5 s, 3 in 100 answers of 6 in 10 engines; here 2 of 4 engines. It comes more than once. */
const GARBLE_SHARE = 0.03
const GARBLE_MS = 5000
const GARBLE_INTERVAL_MS = 6000
/** Answers of one engine in a span, about: a quarter of the requests. */
const ANSWERS_PER_SPAN = (REQUESTS_PER_S * GARBLE_MS) / 4000
const GARBLED_ENGINES = ["i-engine-1", "i-engine-2"]

/** Chooses the answers of an engine that are followed by a copy: refusals with 421, within the dose. */
function createGarble(engine) {
  const startedAt = performance.now()
  let span = -1
  let countBefore = 0
  let repeated = 0
  return (status) => {
    const ms = performance.now() - startedAt
    const current = Math.floor(ms / GARBLE_INTERVAL_MS)
    if (current !== span) {
      span = current
      countBefore = engine.answerCount
      repeated = 0
    }
    const isOn = ms % GARBLE_INTERVAL_MS < GARBLE_MS
    const limit = GARBLE_SHARE * Math.max(engine.answerCount - countBefore, ANSWERS_PER_SPAN)
    if (status !== 421 || !isOn || repeated + 1 > limit) return false
    repeated++
    return true
  }
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  IS_TROUBLE,
  async ({ journal, isTrouble, onEnd }) => {
    const store = new Store()
    await store.start()
    onEnd(() => store.stop())
    const engines = [1, 2, 3, 4].map(
      (n) =>
        new Endpoint(`i-engine-${n}`, {
          model: MODEL,
          service: "assistant",
          zone: `zone-${"abca"[n - 1]}`,
        }),
    )
    for (const engine of engines) {
      await engine.start()
      onEnd(() => engine.stop())
      if (isTrouble && GARBLED_ENGINES.includes(engine.id))
        engine.shouldRepeat = createGarble(engine)
    }
    let beats = 0
    const register = () => {
      beats++
      for (const engine of engines)
        store.put(`servers/${engine.id}`, { ...engine.buildRegistration(), sequence: beats })
    }
    register()
    const heartbeat = setInterval(register, 1200)
    onEnd(() => clearInterval(heartbeat))
    const later = {
      resumable: false,
      max_attempts: 1,
      priority: 2,
      goal_ms: 2000,
      timeout_ms: 10_000,
      gap_aim_ms: 250,
    }
    store.put(
      "op/config",
      buildConfiguration(1, [buildRoute("later", "streaming", "assistant", later)]),
    )

    const fleet = new Fleet(SMALL_BOUNDS)
    onEnd(() => fleet.stop())
    await fleet.start(() => store.address)
    if (!(await fleet.waitUntilReady())) throw new Error("the instances were not ready")
    await sleep(6000)
    journal.write("4 instances ready")

    const results = []
    const startedAt = performance.now()
    for (let n = 0; performance.now() - startedAt < TRAFFIC_MS; n++) {
      const adapter = `a${1 + Math.floor(Math.random() * ADAPTER_COUNT)}`
      const instance = fleet.instances[n % fleet.instances.length]
      const headers = {
        Model: `${MODEL}/${adapter}`,
        "Token-Counts": "100,30",
        "Prompt-Prefix": "1a:50,2b:50",
      }
      results.push(
        call(instance, "POST", "/later/q", headers, 10_000).then((result) => ({
          ...result,
          adapter,
          instance,
        })),
      )
      await sleep(startedAt + ((n + 1) * 1000) / REQUESTS_PER_S - performance.now())
    }
    const answers = await Promise.all(results)

    const runs = new Map()
    for (const engine of engines)
      for (const run of engine.runs)
        runs.set(run.attempt, [...(runs.get(run.attempt) ?? []), { ...run, engine: engine.id }])
    for (const engine of engines) {
      journal.write(
        `${engine.id}: ${engine.answerCount} answers, ${engine.runs.length} runs, ${engine.copies.length} late copies`,
      )
      for (const copy of engine.copies)
        journal.write(
          `${engine.id}: late copy of the answer to ${copy.attempt}, where that to ${copy.before} was due`,
        )
    }
    let twice = 0
    let refused = 0
    for (const { attempt, status, adapter, instance } of answers) {
      const own = runs.get(attempt) ?? []
      const isTwice = own.length > 1
      const isRefused = status === 503 && own.length > 0
      twice += isTwice ? 1 : 0
      refused += isRefused ? 1 : 0
      const where = own
        .map((run) => `${run.engine} at ${Math.round(run.at - startedAt)} ms`)
        .join(", ")
      journal.write(
        `${attempt} for ${adapter} to ${instance.id}: ${status}, ran ${own.length === 0 ? "nowhere" : where}${isTwice ? "  RAN TWICE" : ""}${isRefused ? "  REFUSED AND RAN" : ""}`,
      )
    }
    const counts = countBy(answers.map(({ status }) => status))
    return {
      isBroken: twice > 0,
      text: `TWICE: of ${answers.length} requests on a stream that may not be resumed, ${twice} ran more than once; ${refused} were answered 503 and ran (answers: ${counts})`,
    }
  },
)

function countBy(values) {
  const counts = new Map()
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  return [...counts].map(([value, count]) => `${count} x ${value}`).join(", ")
}
