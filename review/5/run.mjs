// CONFIG: the open channels go silent once, without a reset, while new ones work.
// A configuration that is acknowledged after all machines are in touch again is
// in force nowhere until the watches end by their own timeout.
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

const CONTACT_MS = 3000
const CONFIG_APPLY_MS = 2000
/** Added to each bound, for the time that a call takes. */
const MARGIN_MS = 300
const SEND_MS = 2000

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
    const oldDesk = new Endpoint("i-desk-1", { service: "desk" })
    const newDesk = new Endpoint("i-desk-2", { service: "desk-two" })
    for (const endpoint of [...engines, oldDesk, newDesk]) {
      await endpoint.start()
      onEnd(() => endpoint.stop())
    }
    let beats = 0
    const register = () => {
      beats++
      for (const endpoint of [...engines, oldDesk, newDesk])
        store.put(`servers/${endpoint.id}`, { ...endpoint.buildRegistration(), sequence: beats })
    }
    register()
    const heartbeat = setInterval(register, 1200)
    onEnd(() => clearInterval(heartbeat))
    const routes = (service) => [
      buildRoute("ask", "streaming", "assistant", { resumable: true, gap_aim_ms: 250 }),
      buildRoute("book", "non_idempotent", service, { max_attempts: 1 }),
    ]
    store.put("op/config", buildConfiguration(1, routes("desk")))

    const fleet = new Fleet(SMALL_BOUNDS)
    onEnd(() => fleet.stop())
    await fleet.start(() => store.address)
    if (!(await fleet.waitUntilReady())) throw new Error("the instances were not ready")
    await sleep(6000)
    store.put("op/config", buildConfiguration(2, routes("desk")))
    journal.write("4 instances ready; configuration 2 acknowledged, which changes no route")
    await sleep(500)
    await ask(fleet, journal, "before", 400)

    if (isTrouble) {
      journal.write(`${store.sockets.size} open channels to the store go silent; new ones work`)
      store.silenceConnections()
    }
    await sleep(CONTACT_MS + MARGIN_MS)
    store.put("op/config", buildConfiguration(3, routes("desk-two")))
    const at = performance.now()
    journal.write(
      "all machines are in touch again; configuration 3 acknowledged: route book now goes to desk-two",
    )
    await sleep(CONFIG_APPLY_MS + MARGIN_MS)
    const late = await ask(fleet, journal, "after configuration 3", SEND_MS)
    const attempts = new Set(late.map(({ attempt }) => attempt))
    const byOld = oldDesk.runs.filter(({ attempt }) => attempts.has(attempt))
    const byNew = newDesk.runs.filter(({ attempt }) => attempts.has(attempt))
    const last =
      byOld.length === 0
        ? ""
        : `, the last ${Math.round(byOld.at(-1).at - at)} ms after the acknowledgement`
    return {
      isBroken: byOld.length > 0,
      text: `CONFIG: of ${late.length} requests sent later than ${CONFIG_APPLY_MS + MARGIN_MS} ms after the acknowledgement, the old service ran ${byOld.length}${last}; the new one ran ${byNew.length}`,
    }
  },
)

/** Sends bookings to the instances in turn. */
async function ask(fleet, journal, label, ms) {
  const results = []
  const endsAt = performance.now() + ms
  for (let n = 0; performance.now() < endsAt; n++) {
    const instance = fleet.instances[n % fleet.instances.length]
    const result = await call(instance, "POST", "/book/x", {}, 2000, "booking")
    journal.write(
      `${label}: ${result.attempt} to ${instance.id}: ${result.status} ${result.body ?? result.error}`,
    )
    results.push(result)
  }
  return results
}
