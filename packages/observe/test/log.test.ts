import { expect } from "chai"
import fc from "fast-check"
import { RefusedError } from "@galenaway/core"
import { createLog, formatLogLine, type LogLevel, REDACTED } from "@galenaway/observe"
import { SEED } from "./history.js"

const PAIR = /([\w.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?: |$)/y
const LINE_BREAK = /[\n\r\v\f\u0085\u2028\u2029]/
const KEY = fc.stringMatching(/^[a-z][a-zA-Z0-9_.-]{0,11}$/).map((name) => `x${name}x`)
const TEXT = fc.oneof(
  fc.string({ unit: "binary" }),
  fc.string({ unit: fc.constantFrom(" ", '"', "=", "\\", "\n", "\r", "\u2028", "a", "\ud800") }),
)

it("a log line parses back to its pairs and no value splits it", () => {
  fc.assert(
    fc.property(fc.dictionary(KEY, TEXT), (fields) => {
      const line = formatLogLine(fields)
      expect(LINE_BREAK.test(line)).to.equal(false)
      expect(parseLine(line)).to.deep.equal(Object.entries(fields))
    }),
    { seed: SEED, numRuns: 1000 },
  )
})

it("a log line has the request, instance, data centre, step and peer of its event", () => {
  const [line = ""] = collectLines("info", (log) => {
    log.info({ request: "r1", step: "grant", peer: "entry-2" }, "waits for a grant")
  })
  expect(Object.fromEntries(parseLine(line).slice(2))).to.deep.equal({
    instance: "entry-1",
    dataCentre: "a",
    request: "r1",
    step: "grant",
    peer: "entry-2",
    msg: "waits for a grant",
  })
})

it("a log line has the step and peer of its error", () => {
  const [line = ""] = collectLines("info", (log) => {
    log.warn({ err: new RefusedError("overloaded", "queue", "entry-2", "full") }, "refused")
  })
  const pairs = new Map(parseLine(line))
  expect(["level", "step", "peer", "code", "outcome"].map((key) => pairs.get(key))).to.deep.equal([
    "warn",
    "queue",
    "entry-2",
    "overloaded",
    "not-run",
  ])
  expect(pairs.get("err.stack")).to.contain("\n")
})

it("secrets are redacted by key at any depth and other keys aren't", () => {
  const lines = collectLines("info", (log) => {
    log.info({
      operatorKey: "hush",
      headers: { Authorization: "hush" },
      peers: [{ peer_key: "hush" }],
    })
    log.child({ token: "hush" }).info({ secret: { deep: "hush" }, maxTokens: 7 }, "child")
  }).join("")
  expect(lines).to.not.contain("hush")
  expect(lines).to.contain(`operatorKey=${REDACTED}`).and.to.contain("maxTokens=7")
})

it("events below the level are not written", () => {
  const lines = collectLines("warn", (log) => {
    log.info("quiet")
    log.error("loud")
  })
  expect(lines).to.have.length(1)
})

function collectLines(
  level: LogLevel,
  act: (log: ReturnType<typeof createLog>) => void,
): readonly string[] {
  const lines: string[] = []
  act(
    createLog(
      level,
      { instance: "entry-1", dataCentre: "a" },
      { write: (line) => lines.push(line) },
    ),
  )
  return lines
}

function parseLine(line: string): readonly (readonly [string, string])[] {
  return [...line.trimEnd().matchAll(new RegExp(PAIR, "gy"))].map(([, key = "", value = ""]) => [
    key,
    value.startsWith('"') ? (JSON.parse(value) as string) : value,
  ])
}
