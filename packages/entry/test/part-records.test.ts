import { expect } from "chai"
import {
  formatPart,
  formatPartItem,
  formatPartKey,
  LinkServer,
  NO_STORE_NEWS,
  type LinkServerHandlers,
  parseFleetRecords,
  parseParts,
  PeerLinks,
  type PeerLinksDependencies,
} from "@galenaway/entry"
import { EventEmitter } from "node:events"
import { createServer } from "node:net"
import type { AddressInfo } from "node:net"
import { createManualClock } from "@galenaway/fakes"
import type { PartState } from "@galenaway/routing"
import { log } from "./support.js"

const SOUND: PartState = { part: "p", generation: 3, endCount: 2 }
const ODD: readonly PartState[] = [
  { part: "a", generation: 2 ** 40, endCount: 1 },
  { part: "b", generation: 1, endCount: -1 },
  { part: "c", generation: 1, endCount: 2 ** 40 },
  { part: "d".repeat(1_000_000), generation: 1, endCount: 1 },
]
const MISPLACED = { key: "galenaway/parts/x", value: formatPart(SOUND), revision: 4 }
const POLL_MS = 10
const TIMEOUT_MS = 5000

it("a part's record with a number out of range, a long id or another part's key is skipped", () => {
  const items = [...ODD, SOUND].map(formatPartItem)
  const { parts, unreadable } = parseFleetRecords([...items, MISPLACED])
  expect(parts).to.deep.equal([SOUND])
  expect(unreadable).to.deep.equal([...ODD.map(({ part }) => formatPartKey(part)), MISPLACED.key])
})

it("peers exchange the states of parts whatever another writer has left among them", async () => {
  const states = parseParts([...ODD, SOUND].map(formatPartItem))
  const received: PartState[] = []
  const address = await findFreeAddress()
  const server = new LinkServer(
    buildHandlers(states) as LinkServerHandlers,
    createManualClock(),
    log,
  )
  await server.start(address)
  const links = createLinks(address, received)
  try {
    const deadline = performance.now() + TIMEOUT_MS
    while (received.length === 0 && performance.now() < deadline)
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  } finally {
    links.stop()
    server.stop()
  }
  expect(received).to.deep.include(SOUND)
})

function buildHandlers(states: readonly PartState[]): Partial<LinkServerHandlers> {
  return {
    onUpdate: () => undefined,
    listPartStates: () => states,
    listSuspects: () => [],
    listLeaving: () => [],
    listSlow: () => [],
    listSnapshots: () => [],
    getStoreNews: () => NO_STORE_NEWS,
    getConfigurationVersion: () => 1,
    onFollowerGone: () => undefined,
  }
}

/** Opens the links of an instance to one owner. The received states are added to a list. */
function createLinks(address: string, received: PartState[]): PeerLinks {
  const peer = { id: "j", incarnation: "j", dataCentre: "dc", peerAddress: address }
  const peers = new Map([["j", { ...peer, isStopping: false }]])
  const ownership = Object.assign(new EventEmitter(), {
    instances: peers,
    listOwners: () => peers,
  })
  const handlers = {
    onUpdate: (_peer: string, { partStates }: { partStates: PartState[] }) =>
      received.push(...partStates),
    getConfigurationVersion: () => 1,
    isSlow: () => false,
    listPartStates: () => [],
    listLeaving: () => [],
  }
  const deps = { self: "i", ownership, handlers, clock: createManualClock(), log, owner: {} }
  const links = new PeerLinks(deps as unknown as PeerLinksDependencies)
  ownership.emit("read")
  return links
}

async function findFreeAddress(): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `127.0.0.1:${String(port)}`
}
