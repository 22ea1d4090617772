import {
  Announcement,
  GrantReply,
  GrantRequest,
  Heartbeat,
  MemberAnswer,
  ReturnRequest,
} from "@galenaway/daemon/peer"
import { printFit } from "./capacity-fit.js"
import {
  type CodecCost,
  measureBytes,
  measureCodec,
  measureUnpacedCpu,
  measurePacedCpu,
  measureWireBytes,
} from "./messages-measure.js"
import {
  createAnnouncement,
  createMemberAnswer,
  createGrantReply,
  createGrantRequest,
  createHeartbeat,
  createReturnRequest,
  type DigestForm,
  type GrantForm,
} from "./messages-samples.js"
import { openPeerStream, type StreamKind } from "./messages-stream.js"
import {
  createPeerCall,
  openClient,
  type PeerCall,
  startMeasuredServer,
  type MeasuredServer,
} from "./messages-wire.js"

/**
 * Measures each message between instances: its encoded size, the time to
 * encode and decode it, its bytes on a connection, and its processor time.
 * With the argument `streams` only what goes over open streams.
 */
const ROWS = [1, 3, 10, 30, 134]
const RETURNS = [1, 4, 16, 64]
const RATES = [20, 50, 100, 200]

for (const kind of ["grant", "return", "exchange"] as const) await printStream(kind)
if (process.argv[2] !== "streams") await printCalls()

async function printCalls(): Promise<void> {
  printCodecs()
  for (const form of ["full", "lean"] as const) {
    const wire = await startMeasuredServer(form)
    try {
      await printGrantBytes(wire, form)
      if (form === "lean") await printOthers(wire)
    } finally {
      await wire.close()
    }
  }
}

function printCodecs(): void {
  console.log("message: encoded bytes, encode, decode")
  printCodec("GrantRequest", measureCodec(GrantRequest, createGrantRequest(1)))
  printCodec("GrantReply full", measureCodec(GrantReply, createGrantReply(1, "full")))
  printCodec("GrantReply lean", measureCodec(GrantReply, createGrantReply(1, "lean")))
  printCodec("Announcement", measureCodec(Announcement, createAnnouncement(1)))
  printCodec("MemberAnswer", measureCodec(MemberAnswer, createMemberAnswer()))
  for (const form of ["full", "lean"] as const)
    printCodec(
      `ReturnRequest of 16, ${form}`,
      measureCodec(ReturnRequest, createReturnRequest(16, form)),
    )
  for (const form of ["full", "counts"] as const) printHeartbeats(form)
}

function printCodec(name: string, { bytes, encodeMicros, decodeMicros }: CodecCost): void {
  const [encode, decode] = [encodeMicros.toFixed(2), decodeMicros.toFixed(2)]
  console.log(`${name}: ${bytes} bytes, ${encode} µs, ${decode} µs`)
}

function printHeartbeats(form: DigestForm): void {
  const costs = ROWS.map((size) => ({
    size,
    ...measureCodec(Heartbeat, createHeartbeat(size, form)),
  }))
  const printCost = (name: string, unit: string, key: keyof CodecCost) =>
    printFit(
      `Heartbeat ${form}, ${name}`,
      unit,
      costs.map((cost) => ({ size: cost.size, value: cost[key] })),
    )
  printCost("bytes", "bytes a row", "bytes")
  printCost("encode", "µs a row", "encodeMicros")
  printCost("decode", "µs a row", "decodeMicros")
}

async function printGrantBytes(wire: MeasuredServer, form: GrantForm): Promise<void> {
  const bytes = await measureWireBytes(wire, callGrant())
  console.log(`RequestGrant ${form}: ${bytes.toFixed(1)} bytes on the wire, both ways`)
  const points = []
  for (const size of RETURNS)
    points.push({ size, value: await measureWireBytes(wire, callReturn(size, form)) })
  printFit(`ReturnGrants ${form}, bytes on the wire`, "bytes a grant", points)
}

async function printOthers(wire: MeasuredServer): Promise<void> {
  const announce = await measureWireBytes(wire, callAnnounce())
  console.log(`AnnounceEviction: ${announce.toFixed(1)} bytes on the wire, both ways`)
  for (const form of ["full", "counts"] as const) {
    const points = []
    for (const size of ROWS)
      points.push({ size, value: await measureWireBytes(wire, callExchange(size, form)) })
    printFit(`Exchange ${form}, bytes on the wire`, "bytes a row of both sides", points)
  }
  await printUnaryCpu(wire, "RequestGrant", callGrant())
  await printUnaryCpu(wire, "ReturnGrants of 1", callReturn(1, "lean"))
  await printUnaryCpu(wire, "Exchange of 3 rows, counts", callExchange(3, "counts"))
  await printUnaryCpu(wire, "AnnounceEviction", callAnnounce())
}

async function printUnaryCpu(wire: MeasuredServer, name: string, call: PeerCall): Promise<void> {
  const client = openClient(wire.address)
  await printCpu(name, () => call(client))
  client.close()
}

async function printStream(kind: StreamKind): Promise<void> {
  const counted = await openPeerStream(kind, "counted")
  const bytes = await measureBytes(counted.send, counted.countBytes)
  counted.close()
  console.log(`${kind} over an open stream: ${bytes.toFixed(1)} bytes on the wire, both ways`)
  const direct = await openPeerStream(kind, "direct")
  await printCpu(`${kind} over an open stream`, direct.send)
  direct.close()
}

async function printCpu(name: string, call: () => Promise<unknown>): Promise<void> {
  const points = await measurePacedCpu(call, RATES)
  printFit(`${name}, processor time of both ends a second`, "µs a call", points)
  const hot = await measureUnpacedCpu(call)
  console.log(`${name}, without pauses: ${hot.toFixed(1)} µs a call`)
}

function callGrant(): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.requestGrant(request, metadata, done),
    createGrantRequest(1),
  )
}

function callReturn(count: number, form: GrantForm): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.returnGrants(request, metadata, done),
    createReturnRequest(count, form),
  )
}

function callAnnounce(): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.announceEviction(request, metadata, done),
    createAnnouncement(1),
  )
}

function callExchange(rows: number, form: DigestForm): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.exchange(request, metadata, done),
    createHeartbeat(rows, form),
  )
}
