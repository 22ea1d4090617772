import { mkdtempSync, writeFileSync } from "node:fs"
import { tmpdir } from "node:os"
import { join } from "node:path"
import { expect } from "chai"
import { EntrySettingsError, parseSettingsFile, readEntrySettings } from "@galenaway/entry"

const ENVIRONMENT = {
  GALENAWAY_ID: "i",
  GALENAWAY_DATA_CENTRE: "dc",
  GALENAWAY_LISTEN: "127.0.0.1:1",
  GALENAWAY_READY_LISTEN: "127.0.0.1:2",
  GALENAWAY_PEER_LISTEN: "127.0.0.1:3",
  GALENAWAY_METRICS_LISTEN: "127.0.0.1:4",
  GALENAWAY_STORE: "127.0.0.1:5",
}

it("entry flags go before the environment, the environment before the file", () => {
  const path = join(mkdtempSync(join(tmpdir(), "galenaway-")), "settings")
  writeFileSync(path, "GALENAWAY_LEASE_MS=1\nGALENAWAY_STOP_LIMIT_S=2\nGALENAWAY_SEEDS=a:1,b:2\n")
  const env = { ...ENVIRONMENT, GALENAWAY_BOOT: path, GALENAWAY_STOP_LIMIT_S: "3" }
  const settings = readEntrySettings(["--stop-limit-s", "4"], env)
  expect(settings).to.deep.include({ leaseMs: 1, stopLimitS: 4, seeds: ["a:1", "b:2"] })
})

it("the error of an invalid entry setting has its name and the allowed values", () => {
  const env = { ...ENVIRONMENT, GALENAWAY_STORE: "nowhere" }
  expect(() => readEntrySettings([], env)).to.throw(
    EntrySettingsError,
    'setting store: got "nowhere"; allowed: host:port',
  )
})

it("comments and lines without a value are left out of a settings file", () => {
  expect(parseSettingsFile("# A=1\n\nB=2=3\r\nC")).to.deep.equal({ B: "2=3" })
})
