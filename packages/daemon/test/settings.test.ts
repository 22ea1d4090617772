import { expect } from "chai"
import { readSettings, SettingsError } from "@galenaway/daemon"

const VALID = {
  GALENAWAY_ID: "entry-1",
  GALENAWAY_DATA_CENTRE: "iloilo",
  GALENAWAY_LISTEN: "127.0.0.1:1",
  GALENAWAY_PEER_LISTEN: "127.0.0.1:2",
  GALENAWAY_OPERATOR_LISTEN: "127.0.0.1:3",
  GALENAWAY_PLATFORM_URL: "http://127.0.0.1:4",
  GALENAWAY_ENDPOINTS: "id=e1,kind=engine,dc=iloilo,url=http://127.0.0.1:5,slots=8",
  GALENAWAY_OPERATOR_KEY: "operator-secret",
  GALENAWAY_PEER_KEY: "peer-secret",
}

function readFailure(env: Record<string, string>, args: readonly string[] = []): string {
  try {
    readSettings(args, { ...VALID, ...env })
    return ""
  } catch (error) {
    expect(error).to.be.instanceOf(SettingsError)
    return (error as Error).message
  }
}

it("reads settings, flags before variables", () => {
  const settings = readSettings(["--id", "entry-2"], VALID)
  expect(settings.id).to.equal("entry-2")
  expect(settings.endpoints[0]).to.deep.include({ id: "e1", dataCentre: "iloilo", slots: 8 })
})

it("names the wrong setting, its value and what is allowed", () => {
  const message = readFailure({ GALENAWAY_LISTEN: "nowhere" })
  expect(message).to.equal('setting listen: got "nowhere"; allowed: host:port')
})

it("keeps secrets out of the message", () => {
  const message = readFailure({ GALENAWAY_PEER_KEY: "short" })
  expect(message).to.contain("setting peerKey").and.not.contain('"short"')
})
