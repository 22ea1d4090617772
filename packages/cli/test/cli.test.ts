import { expect } from "chai"
import { type CliRun, laggingPeers, runTool, startTestFleet, type TestFleet } from "./support.js"

const REASON = ["--reason", "more loads"]
const APPLY = ["config", "apply", "edited.json", ...REASON]
const EDITED = { revision: 0, defaults: { loads: { burst: 4 } } }
const EXCEPTION = { match: { rank: "bulk" }, set: { retryShare: 0 } }

async function withFleet<T>(
  run: (fleet: TestFleet) => Promise<T>,
  peers?: Parameters<typeof startTestFleet>[0],
): Promise<T> {
  const fleet = await startTestFleet(peers)
  try {
    return await run(fleet)
  } finally {
    await fleet.close()
  }
}

function runOnce(args: readonly string[], file?: unknown): Promise<CliRun> {
  return withFleet(({ urls }) => runTool(args, { urls, file }))
}

it("shows the status as tables", async () => {
  const { output } = await runOnce(["status"])
  expect(output)
    .to.contain("Degraded: none")
    .and.match(/engine-1 +engine +iloilo +serving/)
})

it("shows the status as JSON", async () => {
  const { output } = await runOnce(["status", "--json"])
  expect(JSON.parse(output)).to.have.nested.property("endpoints[1].id", "engine-2")
})

const JSON_COMMANDS: readonly (readonly string[])[] = [
  ["config", "get"],
  ["config", "diff", "edited.json"],
  ["config", "history"],
  APPLY,
  ["explain", "reef/sst@v1"],
  ["drain", "endpoint", "engine-1", ...REASON],
  ["undrain", "endpoint", "engine-1", ...REASON],
  ["timeline"],
]

for (const args of JSON_COMMANDS)
  it(`prints JSON for ${args.slice(0, 2).join(" ")}`, async () => {
    const { reason, output } = await runOnce([...args, "--json"], EDITED)
    expect([reason, typeof JSON.parse(output)]).to.deep.equal(["done", "object"])
  })

it("goes on to the next URL when an instance doesn't answer", async () => {
  const { reason } = await withFleet(({ urls: [url = ""] }) =>
    runTool(["status"], { urls: ["http://127.0.0.1:1", url] }),
  )
  expect(reason).to.equal("done")
})

it("says that no instance answered", async () => {
  const { reason, errors } = await runTool(["status"], { urls: ["http://127.0.0.1:1"] })
  expect([reason, errors]).to.deep.equal([
    "unreachable",
    "galenaway: http://127.0.0.1:1: ECONNREFUSED connect ECONNREFUSED 127.0.0.1:1\n",
  ])
})

it("says that the key was refused without showing it", async () => {
  const run = await withFleet(({ urls }) => runTool(["status"], { urls, key: "wrong-secret" }))
  expect(run.reason).to.equal("unauthorized")
  expect(run.output + run.errors).to.not.contain("wrong-secret")
})

const WRONG_USAGE: readonly (readonly [name: string, args: readonly string[], text: string])[] = [
  ["an unknown command", ["stauts"], "unknown command"],
  ["an unknown option", ["status", "--jsno"], "unknown option"],
  ["a missing file", ["config", "diff", "other.json"], "file other.json: ENOENT"],
  ["a missing reason", ["drain", "endpoint", "engine-1"], "give --reason"],
  ["an unknown kind", ["drain", "engine", "engine-1", ...REASON], "allowed: endpoint, instance"],
  ["an unknown endpoint", ["drain", "endpoint", "e9", ...REASON], "engine-1, engine-2"],
  ["a malformed model", ["explain", "reef"], "base/adapter@version"],
  ["an unknown rank", ["explain", "reef/sst@v1", "--rank", "fast"], "urgent, standard, bulk"],
  ["a malformed time", ["timeline", "--since", "soon"], "allowed: a duration"],
  ["a malformed wait", [...APPLY, "--wait", "4s"], "allowed: seconds"],
]

for (const [name, args, text] of WRONG_USAGE)
  it(`refuses ${name} with what is allowed`, async () => {
    const { reason, errors } = await runOnce(args, EDITED)
    expect(reason).to.equal("refused")
    expect(errors).to.contain(text)
  })

it("refuses to run without a URL", async () => {
  const { reason, errors } = await runTool(["status"], { urls: [] })
  expect([reason, errors]).to.deep.equal([
    "refused",
    "galenaway: no operators' URL: give --urls or GALENAWAY_OPERATOR_URLS\n",
  ])
})

it("refuses an invalid configuration before it calls an instance", async () => {
  const file = { defaults: { floors: { bulk: 40 } } }
  const { reason, errors } = await runTool(APPLY, { urls: ["http://127.0.0.1:1"], file })
  expect(reason).to.equal("refused")
  expect(errors).to.contain("defaults.floors.bulk: got 40; allowed: a share")
})

it("shows the difference without applying it", async () => {
  const { output } = await runOnce(["config", "diff", "edited.json"], EDITED)
  expect(output).to.equal("~ defaults.loads.burst: 3 -> 4\n")
})

it("applies a change and shows it in the history", async () => {
  const { output } = await withFleet(async ({ urls }) => {
    await runTool(APPLY, { urls, file: EDITED })
    return runTool(["config", "history"], { urls })
  })
  expect(output).to.match(/1 +2026-01-31T00:00:00.000Z +maria +1 +more loads/)
})

it("prints a configuration that can be applied again", async () => {
  const { reason, output } = await withFleet(async ({ urls }) => {
    await runTool(APPLY, { urls, file: EDITED })
    const { output: file } = await runTool(["config", "get"], { urls })
    return runTool(APPLY, { urls, file })
  })
  expect([reason, output]).to.deep.equal([
    "done",
    "nothing to change, revision 1 says so already, in force on 1 of 1 instances\n",
  ])
})

it("says whose change won a race and what to do", async () => {
  const { reason, errors } = await withFleet(async ({ urls }) => {
    await runTool([...APPLY, "--author", "rafael"], { urls, file: EDITED })
    return runTool(APPLY, { urls, file: { ...EDITED, defaults: { loads: { burst: 5 } } } })
  })
  expect(reason).to.equal("conflict")
  expect(errors).to.contain("rafael").and.contain("galenaway config get")
})

it("names the instances where a change isn't in force", async () => {
  const { reason, errors, output } = await withFleet(
    ({ urls }) => runTool(APPLY, { urls, file: EDITED }),
    laggingPeers,
  )
  expect(reason).to.equal("lagging")
  expect(output).to.equal("revision 1 accepted, in force on 1 of 3 instances\n")
  expect(errors).to.contain("entry-3 (behind), entry-4 (unreachable)")
})

it("settles a lost reply through the platform", async () => {
  const { reason } = await withFleet(({ urls, platform }) => {
    platform.faults.loseReplies = 1
    return runTool(APPLY, { urls, file: EDITED })
  })
  expect(reason).to.equal("done")
})

for (const args of [APPLY, ["drain", "endpoint", "engine-1", ...REASON]])
  it(`says that ${args[0] ?? ""} changed nothing when the platform is down`, async () => {
    const { reason } = await withFleet(({ urls, platform }) => {
      platform.faults.down = true
      return runTool(args, { urls, file: EDITED })
    })
    expect(reason).to.equal("unreachable")
  })

it("shows at once that the platform is down", async () => {
  const { output } = await withFleet(({ urls, platform }) => {
    platform.faults.down = true
    return runTool(["status"], { urls })
  })
  expect(output).to.match(/platform +doesn't answer, changes can't be made/)
})

it("takes the reason of a new exception from the flag", async () => {
  const { output } = await withFleet(async ({ urls }) => {
    await runTool(APPLY, { urls, file: { revision: 0, exceptions: [EXCEPTION] } })
    return runTool(["config", "get"], { urls })
  })
  expect(JSON.parse(output)).to.have.nested.property("exceptions[0].reason", "more loads")
})

it("asks a person for the reason of a new exception, of the change, and to confirm", async () => {
  const file = { revision: 0, exceptions: [EXCEPTION] }
  const answers = ["sent again by the scheduler", "season starts", "y"]
  const { output } = await withFleet(async ({ urls }) => {
    await runTool(["config", "apply", "edited.json"], { urls, file, answers })
    return runTool(["config", "history", "--json"], { urls })
  })
  const [change] = JSON.parse(output) as { reason: string; differences: { after: string }[] }[]
  expect(change?.reason).to.equal("season starts")
  expect(change?.differences.map((each) => each.after)).to.include("sent again by the scheduler")
})

it("changes nothing when a person doesn't confirm", async () => {
  const { reason } = await withFleet(({ urls }) =>
    runTool(APPLY, { urls, file: EDITED, answers: ["n"] }),
  )
  expect(reason).to.equal("refused")
})

it("draws a progress line for a person while a change isn't in force", async () => {
  const { errors } = await withFleet(
    ({ urls }) => runTool(APPLY, { urls, file: EDITED, answers: ["y"] }),
    laggingPeers,
  )
  expect(errors).to.contain("\rrevision 1: in force on 1 of 3")
})

it("drains and undrains an endpoint", async () => {
  const { output } = await withFleet(async ({ urls }) => {
    await runTool(["drain", "endpoint", "engine-1", ...REASON], { urls })
    const drained = await runTool(["status"], { urls })
    await runTool(["undrain", "endpoint", "engine-1", ...REASON], { urls })
    return { output: [drained.output, (await runTool(["status"], { urls })).output] }
  })
  expect(output[0]).to.match(/engine-1 +engine +iloilo +draining/)
  expect(output[1]).to.match(/engine-1 +engine +iloilo +serving/)
})

it("explains which exception decides a setting", async () => {
  const { output } = await withFleet(async ({ urls }) => {
    await runTool(APPLY, { urls, file: { revision: 0, exceptions: [EXCEPTION] } })
    return runTool(["explain", "reef/sst@v1", "--rank", "bulk"], { urls })
  })
  expect(output).to.match(/retryShare +0 +exception rank=bulk: more loads/)
})

it("filters the time line by request and time", async () => {
  const { output } = await withFleet(({ urls: [url = ""] }) =>
    runTool(["timeline", "--request", "r1", "--since", "2s"], { urls: [url] }),
  )
  expect(output).to.equal("+0 ms  entry-1 (iloilo)  finishes it (request r1)\n")
})

it("names instances whose events are left out", async () => {
  const { errors } = await withFleet(({ urls: [url = ""] }) =>
    runTool(["timeline"], { urls: [url, "http://127.0.0.1:1"] }),
  )
  expect(errors).to.contain("left out: http://127.0.0.1:1")
})

it("writes the time line as a page", async () => {
  const { files } = await runOnce(["timeline", "--html", "page.html"])
  expect(files.get("page.html")).to.contain("<!doctype html>").and.contain("(request r1)</text>")
})

it("shows what each exit code says", async () => {
  const { reason, output } = await runTool(["--help"], { urls: [] })
  expect(reason).to.equal("done")
  expect(output).to.contain("5  another change came first")
})
