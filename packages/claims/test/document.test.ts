import { expect } from "chai"
import {
  applyOperations,
  type ClaimOperation,
  createClaimKey,
  DEFAULT_CLAIM_LIMITS,
  EMPTY_DOCUMENT,
  formatDocument,
  parseDocument,
  type ShardDocument,
} from "@galenaway/claims"

const limits = { ...DEFAULT_CLAIM_LIMITS, pastBytes: 44, documentBytes: 2000 }
const START = 1_700_000_000_000

function createKey(name: string, issuedAt?: number) {
  return { ...createClaimKey({ operation: "o", key: name, body: "" }, START), issuedAt }
}

function createClaim(name: string, issuedAt?: number): ClaimOperation {
  return { kind: "claim", key: createKey(name, issuedAt), author: "a", id: 1 }
}

function createSettlement(name: string, body: string): ClaimOperation {
  const settlement = { state: "done", status: 200, body } as const
  return { kind: "settle", key: createKey(name), author: "a", id: 1, settlement }
}

function apply(document: ShardDocument, operations: readonly ClaimOperation[], ageMs = 0) {
  return applyOperations(document, operations, START + ageMs, limits)
}

function claimAgain(document: ShardDocument, name: string, issuedAt?: number): string {
  const key = createKey(name, issuedAt)
  const again: ClaimOperation = { kind: "claim", key, author: "b", id: 2 }
  return apply(document, [again], 2 * limits.retentionMs).results[0]?.kind ?? "none"
}

/** Applies a change after the retention of a document's claims, so that their records are discarded. */
function discardClaims(document: ShardDocument): ShardDocument {
  const late = 2 * limits.retentionMs
  return apply(document, [createClaim("late", START + late)], late).document
}

it("parses a formatted document back to an equal one", () => {
  const { document } = apply(EMPTY_DOCUMENT, [createClaim("k1"), createSettlement("k1", "é\n")])
  expect(parseDocument(formatDocument(document))).to.deep.equal(document)
})

it("never claims a discarded opaque key again", () => {
  const document = discardClaims(
    apply(EMPTY_DOCUMENT, [createClaim("k1"), createClaim("k2")]).document,
  )
  expect([...document.claims.keys()]).to.deep.equal([createKey("late").digest])
  expect(claimAgain({ ...document, past: "" }, "k1")).to.equal("applied")
  expect(claimAgain(document, "k1")).to.equal("expired")
  expect(claimAgain(document, "k2")).to.equal("expired")
})

it("never claims a discarded key with a time again, even under a slow clock", () => {
  const document = discardClaims(apply(EMPTY_DOCUMENT, [createClaim("k1", START)]).document)
  const key = createKey("k1", START)
  const again: ClaimOperation = { kind: "claim", key, author: "b", id: 2 }
  expect(apply({ ...document, horizon: 0 }, [again]).results).to.deep.equal([{ kind: "applied" }])
  expect(apply(document, [again]).results).to.deep.equal([{ kind: "expired" }])
  expect(document.past).to.equal("")
})

it("accepts no more opaque keys than it can keep", () => {
  const names = ["k1", "k2", "k3", "k4", "k5"].map((name) => createClaim(name))
  const kinds = apply(EMPTY_DOCUMENT, names).results.map(({ kind }) => kind)
  expect(kinds).to.deep.equal(["applied", "applied", "applied", "applied", "full"])
})

it("drops the oldest bodies when the document grows", () => {
  const operations = ["k1", "k2"].flatMap((name) => [
    createClaim(name),
    createSettlement(name, "x".repeat(1200)),
  ])
  const { document } = apply(EMPTY_DOCUMENT, operations)
  const records = [...document.claims.values()]
  expect(records.map((record) => record.state)).to.deep.equal(["done", "done"])
  expect(records.map((record) => "body" in record)).to.deep.equal([false, true])
})

it("writes a release even if its claim is not stored", () => {
  const release: ClaimOperation = { kind: "release", key: createKey("k1"), author: "a", id: 1 }
  expect(apply(EMPTY_DOCUMENT, [release]).isChanged).to.equal(true)
})

it("reads the time of a key from a UUID of version 7", () => {
  const call = { operation: "o", key: "018bcfe5-6800-7000-8000-000000000000", body: "" }
  expect(createClaimKey(call, START).issuedAt).to.equal(START)
  expect(createClaimKey(call, START - 600_000).issuedAt).to.equal(undefined)
})
