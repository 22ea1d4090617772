import { expect } from "chai"
import { type ConfigurationPeers, ConfigurationWatcher, noPeers } from "@galenaway/daemon"
import { noopRecorder } from "@galenaway/observe"
import {
  buildDocuments,
  createActiveConfiguration,
  createMemoryLog,
  createTiming,
  MemoryPlatform,
} from "./configuration-support.js"

const [FIRST = "", SECOND = ""] = buildDocuments(2)

function createWatch(platform: MemoryPlatform, peers: ConfigurationPeers = noPeers, random = 0.5) {
  const activeConfiguration = createActiveConfiguration()
  const timing = createTiming(random)
  const { log, lines } = createMemoryLog()
  const deps = { platform, peers, activeConfiguration, timing, log, recorder: noopRecorder }
  return { watch: new ConfigurationWatcher(deps), activeConfiguration, timing, lines }
}

function createPeer(document: string, revision: number): ConfigurationPeers {
  return {
    listPeers: () => ["silent", "entry-2"],
    fetch: (peer) =>
      peer === "silent"
        ? Promise.reject(new Error("no answer"))
        : Promise.resolve({ revision, document }),
  }
}

async function listOutagePauses(random: number): Promise<readonly number[]> {
  const platform = new MemoryPlatform()
  platform.set(FIRST)
  platform.failingReads = 6
  const { watch, timing } = createWatch(platform, noPeers, random)
  watch.start()
  await watch.waitForFirst(10_000)
  return timing.pauses.slice(0, 6)
}

it("reads the configuration at the start", async () => {
  const platform = new MemoryPlatform()
  platform.set(FIRST)
  const { watch, activeConfiguration } = createWatch(platform)
  watch.start()
  await watch.waitForFirst(10_000)
  expect(activeConfiguration.revision).to.equal(1)
})

it("waits no longer when the platform has no configuration yet", async () => {
  const { watch, activeConfiguration } = createWatch(new MemoryPlatform())
  watch.start()
  await watch.waitForFirst(10_000)
  expect(activeConfiguration.revision).to.equal(0)
})

it("calls the platform less often during an outage, up to a bound", async () => {
  expect(await listOutagePauses(0)).to.deep.equal([100, 200, 400, 800, 1250, 1250])
})

it("spreads the calls of an outage by jitter", async () => {
  expect(await listOutagePauses(0.5)).to.deep.equal([150, 300, 600, 1200, 1875, 1875])
})

it("starts from a peer while the platform is down and another peer is silent", async () => {
  const platform = new MemoryPlatform()
  platform.failingReads = Infinity
  const { watch, activeConfiguration } = createWatch(platform, createPeer(SECOND, 2))
  await watch.fetchFromPeers()
  expect(activeConfiguration.revision).to.equal(2)
})

it("fetches the configuration of a peer whose heartbeat shows a higher revision", async () => {
  const { watch, activeConfiguration } = createWatch(new MemoryPlatform(), createPeer(SECOND, 2))
  activeConfiguration.offer(1, FIRST)
  await watch.handleRevision("entry-2", 2)
  expect(activeConfiguration.revision).to.equal(2)
})

it("survives a peer that fails after its heartbeat", async () => {
  const { watch, activeConfiguration } = createWatch(new MemoryPlatform(), createPeer(SECOND, 2))
  await watch.handleRevision("silent", 2)
  expect(activeConfiguration.revision).to.equal(0)
})
