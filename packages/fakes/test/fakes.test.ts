import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs"
import { join } from "node:path"
import { fileURLToPath, pathToFileURL } from "node:url"
import { expect } from "chai"
import { request as sendRequest } from "undici"
import {
  type CallBehavior,
  createManualClock,
  createMemoryStore,
  startEngine,
  startPlatform,
} from "@galenaway/fakes"

const packageRoot = fileURLToPath(new URL("../..", import.meta.url))
const MODEL = "base/a@1"

it("resolves waits of the manual clock in the order of their times", async () => {
  const clock = createManualClock()
  const resolved: string[] = []
  const wait = async (name: string, ms: number) => {
    await clock.wait(ms)
    resolved.push(`${name} at ${clock.now()}`)
  }
  void wait("late", 20)
  void wait("early", 10)
  void wait("never", 31)
  await clock.advance(30)
  expect(resolved).to.deep.equal(["early at 10", "late at 20"])
})

it("handles each call to the memory store with its configured behavior", async () => {
  const clock = createManualClock()
  const behaviors: CallBehavior[] = [
    { kind: "request-lost" },
    { kind: "reply-lost" },
    { kind: "late", afterMs: 5 },
  ]
  const getBehavior = () => behaviors.shift() ?? ({ kind: "answered" } as const)
  const store = createMemoryStore({ wait: clock.wait, getBehavior })
  const values: (string | undefined)[] = []
  for (const [revision, value] of ["lost", "applied", "late"].entries()) {
    const written = store.compareAndSwap("k", Math.max(0, revision - 1), value)
    const ended = written.catch(() => undefined)
    await clock.advance(0)
    await ended
    values.push(store.entries.get("k")?.value)
  }
  await clock.advance(5)
  values.push(store.entries.get("k")?.value)
  expect(values).to.deep.equal([undefined, "applied", "applied", "late"])
})

it("resumes a run of the engine on another connection", async () => {
  const engine = await startEngine({ id: "e1", batch: { prefillMs: 0, stepMs: 1 } })
  const post = (path: string, body: object, headers = {}) =>
    sendRequest(`${engine.url}${path}`, { method: "POST", body: JSON.stringify(body), headers })
  await (await post("/v1/load_lora_adapter", { lora_name: MODEL })).body.dump()
  const call = { model: MODEL, messages: [], max_tokens: 3 }
  const first = await post("/v1/chat/completions", call, { "x-request-id": "q" })
  await first.body.dump()
  const events = `${engine.url}/v1/chat/completions/q/events`
  const resumed = await sendRequest(events, { headers: { "last-event-id": "2" } })
  const text = await resumed.body.text()
  await engine.close()
  expect([...text.matchAll(/^id: (\d)$/gm)].map((match) => match[1])).to.deep.equal(["3", "4"])
})

it("applies a write of the platform whose reply is lost", async () => {
  const platform = await startPlatform()
  platform.faults.loseReplies = 1
  const write = () => sendRequest(`${platform.url}/v1/kv/k?cas=0`, { method: "PUT", body: "v" })
  const lost = await write().catch(() => undefined)
  const secondReply = await write()
  const written = await secondReply.body.json()
  await platform.close()
  expect([lost, written]).to.deep.equal([undefined, false])
})

it("runs the example of the stand-ins", async () => {
  const readme = readFileSync(join(packageRoot, "README.md"), "utf8")
  const code = /```js\n(.*?)```/s.exec(readme)?.[1] ?? ""
  const folder = mkdtempSync(join(packageRoot, "dist", "example-"))
  try {
    const file = join(folder, "example.mjs")
    writeFileSync(file, code)
    const example = (await import(pathToFileURL(file).href)) as { runs?: number }
    expect(example.runs).to.equal(2)
  } finally {
    rmSync(folder, { recursive: true })
  }
})
