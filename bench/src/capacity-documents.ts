import type { ClaimRecord } from "@galenaway/claims"
import type { PlatformListEntry } from "@galenaway/core"
import type { Member, OwnershipDocument } from "@galenaway/coordination"
import { DEFAULT_POLICY } from "@galenaway/policy"
import { printFit } from "./capacity-fit.js"
import { measureMicros } from "./messages-measure.js"
import {
  formatAdapter,
  formatEndpointId,
  formatIncarnation,
  formatInstanceId,
  createList,
} from "./messages-samples.js"

const MEMBER_COUNTS = [4, 12, 47, 110, 330]
const ENDPOINT_COUNTS = [13, 40, 134, 300]
const EXCEPTION_COUNTS = [10, 50, 200, 1000]
const CLAIM_COUNTS = [10, 100, 500, 2000]
const LIST_COUNTS = [16, 181, 600, 1270]
const FIXED_ENDPOINT_COUNT = 134
const FIXED_MEMBER_COUNT = 47
const PARSE_ROUNDS = 50
const FINGERPRINT = "9f86d081884c7d659a2feaa0c55ad015"
const CLAIMED_AT = 1_796_372_544_559
const ANSWER_BODY = JSON.stringify({ booking: "b-1234567", litres: 120, pier: "Iloilo 4" })

/** Whether each ownership lists its witnesses, or lists none because all members of the document are witnesses. */
type WitnessForm = "named" | "shared"

/** Measures and prints the size of each document that the platform stores, and the time to parse and format it. */
export function printDocuments(): void {
  for (const form of ["named", "shared"] as const) {
    printDocument(`ownership, witnesses ${form}, by members`, "member", MEMBER_COUNTS, (size) =>
      createOwnershipDocument(size, FIXED_ENDPOINT_COUNT, form),
    )
    printDocument(
      `ownership, witnesses ${form}, by endpoints`,
      "endpoint",
      ENDPOINT_COUNTS,
      (size) => createOwnershipDocument(FIXED_MEMBER_COUNT, size, form),
    )
  }
  printDocument("configuration", "exception", EXCEPTION_COUNTS, createConfiguration)
  printDocument("claims", "claim", CLAIM_COUNTS, createClaims)
  printDocument("list of instances and endpoints", "entry", LIST_COUNTS, createPlatformList)
}

function printDocument(
  name: string,
  unit: string,
  counts: readonly number[],
  create: (size: number) => unknown,
): void {
  const texts = counts.map((size) => ({ size, text: JSON.stringify(create(size)) }))
  const byteSizes = texts.map(({ size, text }) => ({ size, value: Buffer.byteLength(text) }))
  printFit(`${name}, size`, `bytes for each ${unit}`, byteSizes)
  const times = texts.map(({ size, text }) => ({
    size,
    value: measureMicros(() => JSON.stringify(JSON.parse(text)), PARSE_ROUNDS),
  }))
  printFit(`${name}, parse and format`, `µs for each ${unit}`, times)
}

function createOwnershipDocument(
  members: number,
  endpoints: number,
  form: WitnessForm,
): OwnershipDocument {
  const witnesses = form === "named" ? createList(members, formatIncarnation) : []
  return {
    dataCentre: "visayas-1",
    epoch: 4711,
    author: formatIncarnation(1),
    members: createList(members, createMember),
    ownerships: createList(endpoints, (index) => ({
      endpoint: formatEndpointId(index),
      owner: formatIncarnation(index % members),
      epoch: 4711,
      witnesses,
      predecessors: [],
    })),
  }
}

function createMember(index: number): Member {
  return {
    incarnation: formatIncarnation(index),
    instance: formatInstanceId(index),
    dataCentre: `visayas-${index % 7}`,
    peerAddress: `10.20.30.${index % 256}:7946`,
    phase: "live",
  }
}

function createConfiguration(exceptions: number): unknown {
  return {
    revision: 184_467,
    defaults: DEFAULT_POLICY,
    exceptions: createList(exceptions, (index) => ({
      adapter: formatAdapter(index),
      set: { targetMs: { urgent: 900 } },
      reason: "skippers of this cooperative sail before dawn",
      author: "ops@iloilo",
    })),
  }
}

function createClaims(count: number): unknown {
  return createList(count, (index): readonly [string, ClaimRecord] => [
    formatIncarnation(index).slice(-36),
    {
      state: "done",
      fingerprint: FINGERPRINT,
      claimedAt: CLAIMED_AT,
      status: 200,
      body: ANSWER_BODY,
    },
  ])
}

function createPlatformList(count: number): readonly PlatformListEntry[] {
  return createList(count, (index) => ({
    id: formatEndpointId(index),
    dataCentre: "visayas-1",
    phase: "live",
  }))
}
