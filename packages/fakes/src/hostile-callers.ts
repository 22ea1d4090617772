import { connect, type Socket } from "node:net"

/** What hostile callers send. */
export type Attack =
  /** Heads that are larger than servers accept. */
  | "oversized-heads"
  /** Heads that never end, most of them within the accepted size. */
  | "endless-heads"
  /** Empty lines without a request after them; half of the connections had an answer before. */
  | "empty-lines"
  /** Complete bodies of the largest accepted size with a length. */
  | "whole-bodies"
  /** Bodies with a length, in pieces. */
  | "piecewise-bodies"
  /** Chunked bodies of the largest accepted size in large chunks. */
  | "large-chunks"
  /** Chunked bodies in chunks of one byte. */
  | "tiny-chunks"
  /** Many requests on each connection, whose answers are not read. */
  | "unread-answers"

/** Whom a crowd of hostile callers attacks, and how. */
export interface CrowdOptions {
  readonly attack: Attack
  /** Number of connections. All are opened at once. */
  readonly count: number
  /** `host:port` of the server. */
  readonly address: string
  readonly path: string
  /** Header lines of each request, without the length of its body. */
  readonly headers: Readonly<Record<string, string>>
  /** The body of the attacks that send one, in an accepted format. */
  readonly body: Buffer
}

/** A crowd whose connections stay open until it is closed or the server closes them. */
export interface Crowd {
  /** Waits until each connection has sent everything or is closed, at most for `limitMs`. */
  waitUntilSent(limitMs: number): Promise<void>
  /** Closes all connections. */
  close(): void
}

/** Requests that are sent on one connection without reading an answer. */
const PIPELINED_COUNT = 30
const PIECE_BYTES = 64 * 1024
const TINY_CHUNK_COUNT = 128 * 1024
const TINY_CHUNKS = Buffer.from("1\r\n \r\n".repeat(TINY_CHUNK_COUNT))
const OVERSIZED_HEADER_BYTES = 64 * 1024
const HEADER_LINE = `X-Padding: ${"a".repeat(500)}\r\n`
/** Lines of an endless head that stays within the accepted size. */
const ACCEPTED_LINE_COUNT = 28
const ENDLESS_LINE_COUNT = 512
const EMPTY_LINES = Buffer.from("\r\n".repeat(PIECE_BYTES / 2))
const EMPTY_LINES_COUNT = 4
/** Every n-th head exceeds the accepted size, and every n-th body is sent to its end; the others stop just short of it. */
const EXCEPTION_INTERVAL = 8
const POLL_MS = 50

/** Opens the connections of a crowd. It sends a bounded number of bytes and ends nothing by itself. */
export function startCrowd(options: CrowdOptions): Crowd {
  const members = Array.from({ length: options.count }, (_, index) => new Member(options, index))
  return {
    waitUntilSent: async (limitMs) => {
      const end = performance.now() + limitMs
      while (members.some(({ isSending }) => isSending) && performance.now() < end)
        await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    },
    close: () => {
      for (const member of members) member.close()
    },
  }
}

class Member {
  isSending = true
  private readonly socket: Socket

  constructor(options: CrowdOptions, index: number) {
    const at = options.address.lastIndexOf(":")
    const [host, port] = [options.address.slice(0, at), Number(options.address.slice(at + 1))]
    this.socket = connect({ host, port, noDelay: true })
    this.socket.on("error", () => undefined)
    if (options.attack !== "unread-answers") this.socket.resume()
    this.socket.once("close", () => {
      this.isSending = false
    })
    void this.send(buildParts(options, index))
  }

  close(): void {
    this.socket.destroy()
  }

  private async send(parts: Iterable<Buffer>): Promise<void> {
    for (const part of parts) {
      if (this.socket.destroyed) return
      await new Promise<void>((resolve) => {
        this.socket.once("close", resolve)
        this.socket.write(part, () => {
          this.socket.off("close", resolve)
          resolve()
        })
      })
    }
    this.isSending = false
  }
}

function* buildParts(options: CrowdOptions, index: number): Generator<Buffer> {
  const { attack, body } = options
  const isOdd = index % 2 === 1
  const isException = index % EXCEPTION_INTERVAL === 0
  switch (attack) {
    case "oversized-heads":
      yield buildHead(options, { "X-Padding": "a".repeat(OVERSIZED_HEADER_BYTES) })
      return
    case "endless-heads":
      yield buildHead(options, {}).subarray(0, -2)
      for (let line = 0; line < (isException ? ENDLESS_LINE_COUNT : ACCEPTED_LINE_COUNT); line++)
        yield Buffer.from(HEADER_LINE)
      return
    case "empty-lines":
      if (isOdd) yield buildHead({ ...options, path: "/unknown" }, { "Content-Length": "0" })
      for (let count = 0; count < EMPTY_LINES_COUNT; count++) yield EMPTY_LINES
      return
    case "whole-bodies":
      yield buildHead(options, { "Content-Length": String(body.length) })
      yield body
      return
    case "piecewise-bodies":
      yield buildHead(options, { "Content-Length": String(body.length) })
      yield* splitBody(body.subarray(0, -1))
      if (isException) yield body.subarray(-1)
      return
    case "large-chunks":
      yield buildHead(options, { "Transfer-Encoding": "chunked" })
      for (const piece of splitBody(body)) yield encodeChunk(piece)
      if (isException) yield encodeChunk(Buffer.alloc(0))
      return
    case "tiny-chunks":
      yield buildHead(options, { "Transfer-Encoding": "chunked" })
      yield* splitBody(TINY_CHUNKS)
      if (isException) yield encodeChunk(Buffer.alloc(0))
      return
    case "unread-answers":
      for (let count = 0; count < PIPELINED_COUNT; count++)
        yield buildHead(options, { "Content-Length": "0" })
  }
}

function buildHead(
  { path, headers }: CrowdOptions,
  added: Readonly<Record<string, string>>,
): Buffer {
  const lines = Object.entries({ ...headers, ...added }).map(([name, value]) => `${name}: ${value}`)
  return Buffer.from(`POST ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`)
}

function* splitBody(body: Buffer): Generator<Buffer> {
  for (let start = 0; start < body.length; start += PIECE_BYTES)
    yield body.subarray(start, start + PIECE_BYTES)
}

function encodeChunk(bytes: Buffer): Buffer {
  const size = Buffer.from(`${bytes.length.toString(16)}\r\n`)
  return Buffer.concat([size, bytes, Buffer.from("\r\n")])
}
