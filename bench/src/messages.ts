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
 * With the argument `streams` it measures only messages over open streams.
 */
const ROW_COUNTS = [1, 3, 10, 30, 134]
const RETURN_COUNTS = [1, 4, 16, 64]
const RATES_PER_SECOND = [20, 50, 100, 200]

for (const kind of ["grant", "return", "exchange"] as const) await printStream(kind)
if (process.argv[2] !== "streams") await printCalls()

async function printCalls(): Promise<void> {
  printCodecs()
  for (const form of ["full", "lean"] as const) {
    const server = await startMeasuredServer(form)
    try {
      await printGrantBytes(server, form)
      if (form === "lean") await printOtherCalls(server)
    } finally {
      await server.close()
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
  const costs = ROW_COUNTS.map((size) => ({
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

async function printGrantBytes(server: MeasuredServer, form: GrantForm): Promise<void> {
  const bytes = await measureWireBytes(server, createGrantCall())
  console.log(`RequestGrant ${form}: ${bytes.toFixed(1)} bytes on the wire, both ways`)
  const measurements = []
  for (const size of RETURN_COUNTS)
    measurements.push({ size, value: await measureWireBytes(server, createReturnCall(size, form)) })
  printFit(`ReturnGrants ${form}, bytes on the wire`, "bytes a grant", measurements)
}

async function printOtherCalls(server: MeasuredServer): Promise<void> {
  const announcementBytes = await measureWireBytes(server, createAnnouncementCall())
  console.log(`AnnounceEviction: ${announcementBytes.toFixed(1)} bytes on the wire, both ways`)
  for (const form of ["full", "counts"] as const) {
    const measurements = []
    for (const size of ROW_COUNTS)
      measurements.push({
        size,
        value: await measureWireBytes(server, createExchangeCall(size, form)),
      })
    printFit(`Exchange ${form}, bytes on the wire`, "bytes a row of both sides", measurements)
  }
  await printUnaryCpu(server, "RequestGrant", createGrantCall())
  await printUnaryCpu(server, "ReturnGrants of 1", createReturnCall(1, "lean"))
  await printUnaryCpu(server, "Exchange of 3 rows, counts", createExchangeCall(3, "counts"))
  await printUnaryCpu(server, "AnnounceEviction", createAnnouncementCall())
}

async function printUnaryCpu(server: MeasuredServer, name: string, call: PeerCall): Promise<void> {
  const client = openClient(server.address)
  await printCpu(name, () => call(client))
  client.close()
}

async function printStream(kind: StreamKind): Promise<void> {
  const countedStream = await openPeerStream(kind, "counted")
  const bytes = await measureBytes(countedStream.send, countedStream.countBytes)
  countedStream.close()
  console.log(`${kind} over an open stream: ${bytes.toFixed(1)} bytes on the wire, both ways`)
  const directStream = await openPeerStream(kind, "direct")
  await printCpu(`${kind} over an open stream`, directStream.send)
  directStream.close()
}

async function printCpu(name: string, call: () => Promise<unknown>): Promise<void> {
  const measurements = await measurePacedCpu(call, RATES_PER_SECOND)
  printFit(`${name}, processor time of both ends a second`, "µs a call", measurements)
  const unpaced = await measureUnpacedCpu(call)
  console.log(`${name}, without pauses: ${unpaced.toFixed(1)} µs a call`)
}

function createGrantCall(): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.requestGrant(request, metadata, done),
    createGrantRequest(1),
  )
}

function createReturnCall(count: number, form: GrantForm): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.returnGrants(request, metadata, done),
    createReturnRequest(count, form),
  )
}

function createAnnouncementCall(): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.announceEviction(request, metadata, done),
    createAnnouncement(1),
  )
}

function createExchangeCall(rows: number, form: DigestForm): PeerCall {
  return createPeerCall(
    (client, request, metadata, done) => client.exchange(request, metadata, done),
    createHeartbeat(rows, form),
  )
}
