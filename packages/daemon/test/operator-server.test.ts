import { expect } from "chai"
import { DEFAULT_CONFIGURATION, DRAIN_LIMIT, formatStoredConfiguration } from "@galenaway/config"
import type { ConfigurationPeers } from "@galenaway/daemon"
import { buildDocuments, MemoryPlatform } from "./configuration-support.js"
import {
  buildChange,
  buildDrain,
  callOperator,
  startTestServer,
  type TestServerOptions,
} from "./operator-support.js"

type TestServer = Awaited<ReturnType<typeof startTestServer>>

async function withServer(
  run: (server: TestServer) => Promise<unknown>,
  options?: TestServerOptions,
): Promise<unknown> {
  const server = await startTestServer(options)
  try {
    return await run(server)
  } finally {
    await server.close()
  }
}

function readStatus(path: string, body?: unknown, key?: string): Promise<unknown> {
  return withServer(async ({ url }) => (await callOperator(url, path, body, key)).status)
}

const PATHS = ["/v1/status", "/v1/configuration", "/v1/events", "/metrics", "/elsewhere"]

for (const path of PATHS)
  it(`refuses ${path} without the operators' key`, async () => {
    expect(await readStatus(path, undefined, "wrong-secret")).to.equal(401)
  })

it("refuses a change without the operators' key before it reads the body", async () => {
  expect(await readStatus("/v1/configuration", "x".repeat(400_000), "wrong")).to.equal(401)
})

it("refuses a body above the limit", async () => {
  expect(await readStatus("/v1/configuration", "x".repeat(400_000))).to.equal(413)
})

it("refuses headers above the limit", async () => {
  expect(await readStatus("/v1/status", undefined, "x".repeat(9000))).to.equal(431)
})

it("answers an unknown path with 404", async () => {
  expect(await readStatus("/v1/elsewhere")).to.equal(404)
})

it("names every fault of a refused configuration", async () => {
  const change = {
    ...buildChange("c1", 0, 0),
    configuration: { revision: 0, floors: {}, dfaults: 1 },
  }
  const reply = await withServer(async ({ url }) =>
    (await callOperator(url, "/v1/configuration", change)).json(),
  )
  expect(reply).to.have.property("issues").with.length(2)
})

it("refuses a configuration that doesn't say what it was edited from", async () => {
  const change = { ...buildChange("c1", 4, 0), configuration: {} }
  expect(await readStatus("/v1/configuration", change)).to.equal(400)
})

it("puts an accepted change in force and shows it", async () => {
  const reply = await withServer(async ({ url }) => {
    await callOperator(url, "/v1/configuration", buildChange("c1", 4, 0))
    return (await callOperator(url, "/v1/configuration")).json()
  })
  expect(reply).to.have.nested.property("configuration.defaults.loads.burst", 4)
})

it("answers a race with the change that won", async () => {
  const reply = await withServer(async ({ url }) => {
    await callOperator(url, "/v1/configuration", buildChange("c1", 4, 0))
    return (await callOperator(url, "/v1/configuration", buildChange("c2", 5, 0))).json()
  })
  expect(reply).to.have.nested.property("winners[0].id", "c1")
})

it("says unknown when a change can't be read back", async () => {
  const platform = new MemoryPlatform()
  platform.lostReplies = 1
  platform.afterReads = [() => (platform.failingReads = Infinity)]
  const run = async ({ url }: TestServer) =>
    (await callOperator(url, "/v1/configuration", buildChange("c1", 4, 0))).json()
  const reply = await withServer(run, { platform })
  expect(reply).to.have.nested.property("error.outcome", "unknown")
})

it("names instances that are behind or unreachable", async () => {
  const [, document = ""] = buildDocuments(2)
  const peers: ConfigurationPeers = {
    listPeers: () => ["current", "behind", "gone"],
    fetch: (peer) => {
      if (peer === "gone") return Promise.reject(new Error("no answer"))
      return Promise.resolve(peer === "current" ? { revision: 2, document } : undefined)
    },
  }
  const run = async ({ url, activeConfiguration }: TestServer) => {
    activeConfiguration.offer(2, document)
    return (await callOperator(url, "/v1/configuration/in-force")).json()
  }
  expect(await withServer(run, { peers })).to.deep.equal({
    revision: 2,
    instances: [
      { instance: "entry-1", state: "in-force" },
      { instance: "current", state: "in-force" },
      { instance: "behind", state: "behind" },
      { instance: "gone", state: "unreachable" },
    ],
  })
})

it("drains an endpoint with its reason, and takes the drain back", async () => {
  const reply = await withServer(async ({ url }) => {
    const readProblems = async () => (await callOperator(url, "/v1/status")).json()
    await callOperator(url, "/v1/drain", buildDrain("c1", "engine-1"))
    const drained = await readProblems()
    await callOperator(url, "/v1/undrain", buildDrain("c2", "engine-1"))
    return [drained, await readProblems()]
  })
  expect(reply).to.have.nested.property("[0].problems[0].message").that.contains("new card")
  expect(reply).to.have.nested.property("[1].problems").that.deep.equals([])
})

it("refuses to drain an endpoint that doesn't exist", async () => {
  expect(await readStatus("/v1/drain", buildDrain("c1", "engine-9"))).to.equal(400)
})

it("refuses one drain too many, which no instance would put in force", async () => {
  const origin = { reason: "new card", author: "maria", date: "2026-01-31" }
  const drains = Array.from({ length: DRAIN_LIMIT }, (_, index) => {
    return { kind: "instance" as const, id: `entry-${index}`, ...origin }
  })
  const configuration = { ...DEFAULT_CONFIGURATION, drains }
  const platform = new MemoryPlatform()
  platform.set(formatStoredConfiguration({ revision: 1, configuration, history: [] }))
  const run = async ({ url }: TestServer) =>
    (await callOperator(url, "/v1/drain", buildDrain("c1", "engine-1"))).text
  expect(await withServer(run, { platform })).to.contain(`at most ${DRAIN_LIMIT} drains`)
})

it("explains that a drained endpoint is left out, and what decides", async () => {
  const reply = await withServer(async ({ url }) => {
    await callOperator(url, "/v1/drain", buildDrain("c1", "engine-1"))
    return (await callOperator(url, "/v1/explain?model=reef-8b/sst@v1&rank=urgent")).json()
  })
  expect(reply).to.have.nested.property("candidates[0].endpoint", "engine-2")
  expect(reply).to.have.nested.property("candidates[1].reason", "draining")
  expect(reply).to.have.nested.property("decisions[0].source.kind", "default")
})

it("refuses to explain a malformed model name", async () => {
  expect(await readStatus("/v1/explain?model=reef&rank=urgent")).to.equal(400)
})

it("gives the metrics as text", async () => {
  const text = await withServer(async ({ url }) => (await callOperator(url, "/metrics")).text)
  expect(text).to.equal("galenaway_grants_total 3\n")
})
