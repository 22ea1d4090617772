import { expect } from "chai"
import { Agent } from "undici"
import { CONFIGURATION_KEY, parseStoredConfiguration } from "@galenaway/config"
import { RefusedError, UnknownOutcomeError } from "@galenaway/core"
import {
  ConfigurationWriter,
  ConsulPlatform,
  type ConfigurationWriterDependencies,
} from "@galenaway/daemon"
import { startPlatform } from "@galenaway/fakes"
import {
  buildDocuments,
  buildEdited,
  buildOrigin,
  createActiveConfiguration,
  createMemoryLog,
  createTiming,
  MemoryPlatform,
} from "./configuration-support.js"

const RACE_COUNT = 20
const ORIGIN = buildOrigin("change-a")

function createWriter(
  platform: ConfigurationWriterDependencies["platform"],
  activeConfiguration = createActiveConfiguration(),
) {
  const { log } = createMemoryLog()
  return new ConfigurationWriter({ platform, activeConfiguration, timing: createTiming(), log })
}

async function catchError(call: Promise<unknown>): Promise<unknown> {
  return call.then(
    () => undefined,
    (error: unknown) => error,
  )
}

it("settles a lost reply by reading back", async () => {
  const platform = new MemoryPlatform()
  platform.lostReplies = 1
  const result = await createWriter(platform).change(buildEdited(4, 0), ORIGIN)
  expect(result).to.deep.include({ kind: "accepted" })
  expect(parseStoredConfiguration(platform.entry?.value ?? "").revision).to.equal(1)
})

it("puts a change in force that it has read back", async () => {
  const platform = new MemoryPlatform()
  platform.lostReplies = 1
  const activeConfiguration = createActiveConfiguration()
  await createWriter(platform, activeConfiguration).change(buildEdited(4, 0), ORIGIN)
  expect(activeConfiguration.revision).to.equal(1)
})

it("says unknown when a write can't be read back", async () => {
  const platform = new MemoryPlatform()
  platform.lostReplies = 1
  platform.afterReads = [() => (platform.failingReads = Infinity)]
  const error = await catchError(createWriter(platform).change(buildEdited(4, 0), ORIGIN))
  expect(error).to.be.instanceOf(UnknownOutcomeError)
})

it("reports not-run when no write was sent", async () => {
  const platform = new MemoryPlatform()
  platform.failingReads = Infinity
  const error = await catchError(createWriter(platform).change(buildEdited(4, 0), ORIGIN))
  expect(error).to.be.instanceOf(RefusedError)
})

it("says that an edit was not run when the platform is down", async () => {
  const platform = new MemoryPlatform()
  platform.failingReads = Infinity
  const createNext = () => buildEdited(9, 0).configuration
  const error = await catchError(createWriter(platform).edit(createNext, ORIGIN))
  expect(error).to.be.instanceOf(RefusedError)
})

it("applies a change once when it is sent again through another instance", async () => {
  const platform = new MemoryPlatform()
  await createWriter(platform).change(buildEdited(4, 0), ORIGIN)
  await createWriter(platform).change(buildEdited(5, 1), buildOrigin("change-b"))
  const repeated = await createWriter(platform).change(buildEdited(4, 0), ORIGIN)
  expect(repeated).to.have.nested.property("record.revision", 1)
})

it("makes an edit on top of a change that came first", async () => {
  const platform = new MemoryPlatform()
  const [first = ""] = buildDocuments(1)
  const write = () => {
    platform.set(first)
  }
  platform.afterReads = [write]
  const createNext = () => buildEdited(9, 0).configuration
  const result = await createWriter(platform).edit(createNext, ORIGIN)
  expect(result).to.have.nested.property("record.revision", 2)
})

it("restores from memory what the platform has lost", async () => {
  const platform = new MemoryPlatform()
  const activeConfiguration = createActiveConfiguration()
  activeConfiguration.offer(2, buildDocuments(2)[1] ?? "")
  const result = await createWriter(platform, activeConfiguration).change(buildEdited(9, 2), ORIGIN)
  expect(result).to.have.nested.property("record.revision", 3)
})

it("replaces a damaged value from memory", async () => {
  const platform = new MemoryPlatform()
  platform.set("damaged")
  const activeConfiguration = createActiveConfiguration()
  activeConfiguration.offer(2, buildDocuments(2)[1] ?? "")
  const result = await createWriter(platform, activeConfiguration).change(buildEdited(9, 2), ORIGIN)
  expect(result).to.have.nested.property("record.revision", 3)
})

it("overwrites no unreadable value without a configuration of its own", async () => {
  const platform = new MemoryPlatform()
  platform.set("damaged")
  const error = await catchError(createWriter(platform).change(buildEdited(4, 0), ORIGIN))
  expect(error).to.be.instanceOf(RefusedError)
})

it("lets one of two racing operators win each revision, though replies are lost", async () => {
  const platform = await startPlatform()
  const agent = new Agent()
  const createRacer = () => createWriter(new ConsulPlatform(platform.url, agent))
  const racers = [createRacer(), createRacer()]
  const accepted: string[] = []
  try {
    for (let race = 0; race < RACE_COUNT; race++) {
      platform.faults.loseReplies = race % 2
      const results = await Promise.all(
        racers.map((racer, index) =>
          racer.change(buildEdited(10 + 2 * race + index, race), buildOrigin(`${race}-${index}`)),
        ),
      )
      const kinds = results.map((each) => each.kind).sort()
      expect(kinds).to.deep.equal(["accepted", "conflict"])
      for (const each of results) if (each.kind === "accepted") accepted.push(each.record.id)
    }
    const entry = await new ConsulPlatform(platform.url, agent).read(CONFIGURATION_KEY)
    const history = [...parseStoredConfiguration(entry?.value ?? "").history].reverse()
    expect(history.map((each) => each.id)).to.deep.equal(accepted)
    const bursts = history.flatMap(({ differences: [burst] }) => [burst?.before, burst?.after])
    expect(bursts.slice(1, -1)).to.deep.equal(
      bursts.slice(1, -1).map((_, index, all) => all[index ^ 1]),
    )
  } finally {
    await agent.close()
    await platform.close()
  }
})
