import type { IncomingMessage, Server, ServerResponse } from "node:http"
import type { Socket } from "node:net"
import { type Clock, type Millis, systemClock } from "@galenaway/core"
import { AnswerHolder } from "./answer-holder.js"
import { type BodyFailure, type BodyOptions, BodyReader, startReading } from "./body-reader.js"
import { ByteBudget } from "./byte-budget.js"
import {
  chooseConnectionToClose,
  type ConnectionPhase,
  type ConnectionView,
} from "./closing-order.js"

/** Why the guard closed a connection. */
export type CloseReason =
  /** Another connection was opened, and too many were open. */
  | "connection-limit"
  /** More bytes arrived before the end of a head than a head may have. */
  | "head-size"
  /** A head didn't end in time. */
  | "head-timeout"
  /** Too many requests were sent without waiting for the answers. */
  | "pipeline"
  /** The caller went on sending the body of a refused request. */
  | "refused-body"

/** What a guard reports. */
export interface GuardEvents {
  onClose(reason: CloseReason): void
  onRefusedBody(failure: BodyFailure): void
  /** Called when an answer is cut because its caller doesn't read it and its bytes are needed. */
  onCutAnswer(): void
  /** Called at each periodic check. */
  onTick(connectionCount: number, heldBytes: number): void
}

/** The limits of a guard. */
export interface GuardLimits {
  /** Number of bytes that the process may hold for its callers. */
  readonly budgetBytes: number
  /** Number of connections that callers may open. */
  readonly maxConnections: number
}

const TICK_MS = 250
/** Twice the largest head, since bytes are counted at ticks and the next request may have arrived. */
const MAX_UNPARSED_BYTES = 64 * 1024
/** The server answers 408 when the timeout of a head has passed. The guard closes the connection after this additional time. */
const HEAD_TIMEOUT_MARGIN_MS = 1000
const DEFAULT_HEADER_TIMEOUT_MS = 3000
const MAX_PIPELINED_COUNT = 32
/** The rest of a refused body is read if it is declared to be at most this long. Otherwise the connection closes after the answer. */
const MAX_DISCARDED_BYTES = 64 * 1024
/** Time after a refusal in which the caller can read the answer before its connection closes. */
const LINGER_MS = 1000

/**
 * Bounds what callers can make a process hold: the bytes of bodies, the
 * connections, and the time in which heads and bodies must arrive. One timer
 * checks all connections.
 */
export class IngressGuard {
  readonly budget: ByteBudget
  private readonly connections = new Map<Socket, GuardedConnection>()
  private readonly readers = new Set<BodyReader>()
  private readonly responses = new WeakMap<IncomingMessage, ServerResponse>()
  private headerTimeoutMs = DEFAULT_HEADER_TIMEOUT_MS
  private timer: NodeJS.Timeout | undefined

  constructor(
    private readonly limits: GuardLimits,
    private readonly events: Partial<GuardEvents> = {},
    private readonly clock: Pick<Clock, "now"> = systemClock,
  ) {
    this.budget = new ByteBudget(limits.budgetBytes, clock)
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.connections.size
  }

  /** Guards a server. Its requests are given to the listener, those of one connection one after the other, except those of connections that were closed. */
  attach(
    server: Server,
    listener: (request: IncomingMessage, response: ServerResponse) => void,
  ): void {
    server.on("connection", (socket) => {
      this.onConnection(socket)
    })
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
      const start = () => {
        if (!request.socket.destroyed) listener(request, response)
      }
      this.onRequest(request, response, start)
    })
  }

  /** Sets the time within which a head must arrive. */
  setHeaderTimeout(ms: Millis): void {
    this.headerTimeoutMs = ms
  }

  /**
   * Reads the body of a request. After a failure other than `gone` the caller
   * must be sent an answer, after which the connection closes. The bytes are
   * held until the answer has ended.
   */
  async readBody(request: IncomingMessage, options: BodyOptions): Promise<Buffer | BodyFailure> {
    const reader = new BodyReader(request, options, this.budget, () => {
      this.closeAfterAnswer(request)
    })
    const connection = this.connections.get(request.socket)
    this.readers.add(reader)
    this.startTimer()
    if (connection) connection.reader = reader
    const result = await reader.result
    this.readers.delete(reader)
    if (connection) connection.reader = undefined
    if (typeof result === "string") this.events.onRefusedBody?.(result)
    else this.releaseAfterAnswer(request, reader)
    return result
  }

  /** Creates the count of the bytes of an answer that its caller hasn't read. */
  createAnswerHolder(response: ServerResponse): AnswerHolder {
    return new AnswerHolder(response, this.budget, () => this.events.onCutAnswer?.())
  }

  /** Discards the body of a request that is refused. Call it before the answer is sent. */
  discardBody(request: IncomingMessage): void {
    const { "content-length": length, "transfer-encoding": encoding } = request.headers
    const isShort = encoding === undefined && Number(length ?? 0) <= MAX_DISCARDED_BYTES
    if (request.complete) return
    if (!isShort) {
      this.closeAfterAnswer(request)
      return
    }
    if (length !== undefined) this.limitRest(request)
    startReading(request, ignoreChunk)
  }

  /** Closes the connections on which nothing of a request has arrived. */
  closeIdle(): void {
    for (const [socket, connection] of this.connections)
      if (connection.phase === "idle") socket.destroy()
  }

  /** Runs the periodic check. */
  tick(): void {
    const now = this.clock.now()
    for (const reader of this.readers) if (now >= reader.deadline) reader.fail("timeout")
    for (const connection of this.connections.values()) {
      const reason = this.checkConnection(connection, now)
      if (reason) this.closeConnection(connection, reason)
    }
    this.events.onTick?.(this.connections.size, this.budget.usedBytes)
    if (this.connections.size === 0 && this.readers.size === 0) this.stopTimer()
  }

  private onConnection(socket: Socket): void {
    const now = this.clock.now()
    this.startTimer()
    if (this.connections.size >= this.limits.maxConnections) {
      const chosen = chooseConnectionToClose(this.connections.values(), now)
      if (chosen) this.closeConnection(chosen, "connection-limit")
      else {
        this.events.onClose?.("connection-limit")
        socket.destroy()
        return
      }
    }
    const connection = new GuardedConnection(socket, now)
    this.connections.set(socket, connection)
    socket.once("close", () => {
      this.connections.delete(socket)
      connection.closeWaiting()
    })
  }

  private onRequest(request: IncomingMessage, response: ServerResponse, start: () => void): void {
    this.responses.set(request, response)
    const connection = this.connections.get(request.socket)
    if (!connection) {
      start()
      return
    }
    connection.onRequest(response)
    if (connection.openCount > MAX_PIPELINED_COUNT) {
      this.closeConnection(connection, "pipeline")
      return
    }
    request.once("close", () => {
      connection.onRequestClose()
    })
    request.once("end", () => {
      connection.onRequestEnd(this.clock.now())
    })
    response.once("close", () => {
      connection.onAnswerEnd(response, this.clock.now())
      if (!request.complete) this.limitRest(request)
    })
    connection.run(start)
  }

  private checkConnection(connection: GuardedConnection, now: Millis): CloseReason | undefined {
    if (connection.closesAt !== undefined)
      return now >= connection.closesAt && connection.openCount <= 1 ? "refused-body" : undefined
    if (connection.isInBody) return undefined
    connection.checkHead(now)
    if (connection.unparsedBytes > MAX_UNPARSED_BYTES) return "head-size"
    const limitMs = this.headerTimeoutMs + HEAD_TIMEOUT_MARGIN_MS
    return connection.phase === "head" && now - connection.since > limitMs
      ? "head-timeout"
      : undefined
  }

  private closeConnection(connection: GuardedConnection, reason: CloseReason): void {
    this.connections.delete(connection.socket)
    this.events.onClose?.(reason)
    connection.socket.destroy()
  }

  /** Closes the connection after the answer to a request whose body isn't read. The caller gets time to read the answer, which a reset would discard. */
  private closeAfterAnswer(request: IncomingMessage): void {
    const { socket } = request
    const response = this.responses.get(request)
    if (!response || socket.destroyed) return
    if (!response.headersSent) response.setHeader("Connection", "close")
    // The server calls destroySoon after the answer. Closing a socket with unread bytes resets the connection, so only the sending side is ended.
    socket.destroySoon = () => socket.end()
    startReading(request, ignoreChunk)
    this.limitRest(request)
    // After the parser has returned. Without a listener the socket isn't read, and the rest of the body stays in the system's buffer.
    setImmediate(() => {
      socket.removeAllListeners("data")
      socket.pause()
    })
  }

  private limitRest(request: IncomingMessage): void {
    const connection = this.connections.get(request.socket)
    if (!connection || connection.closesAt !== undefined) return
    connection.closesAt = this.clock.now() + LINGER_MS
    request.once("end", () => {
      connection.closesAt = undefined
    })
  }

  private releaseAfterAnswer(request: IncomingMessage, { holder }: BodyReader): void {
    const response = this.responses.get(request)
    if (!response || response.destroyed) holder.close()
    else
      response.once("close", () => {
        holder.close()
      })
  }

  private startTimer(): void {
    this.timer ??= setInterval(() => {
      this.tick()
    }, TICK_MS).unref()
  }

  private stopTimer(): void {
    clearInterval(this.timer)
    this.timer = undefined
  }
}

/** One connection of a caller. */
class GuardedConnection implements ConnectionView {
  /** The answers that have not been written to their end. */
  private readonly responses = new Set<ServerResponse>()
  private readonly waitingStarts: (() => void)[] = []
  isUsed = false
  /** The reader of the body that arrives. */
  reader: BodyReader | undefined
  /** Number of requests that haven't arrived whole. */
  private unfinishedCount = 0
  /** Time at which the connection is closed if the body of a refused request hasn't ended. */
  closesAt: Millis | undefined
  /** Number of bytes that had arrived at the end of the last request. */
  private usedBytes = 0
  private headSince: Millis | undefined
  private idleSince: Millis

  constructor(
    readonly socket: Socket,
    now: Millis,
  ) {
    this.idleSince = now
  }

  /** Number of bytes that have arrived since the end of the last request. */
  get unparsedBytes(): number {
    return this.socket.bytesRead - this.usedBytes
  }

  /** Whether the bytes that arrive may belong to a body. What isn't read of it stays in the system's buffer. */
  get isInBody(): boolean {
    return this.unfinishedCount > 0
  }

  /** Number of requests whose answers have not been written to their end. */
  get openCount(): number {
    return this.responses.size
  }

  get phase(): ConnectionPhase {
    if (this.closesAt !== undefined) return "refused"
    if (this.reader) return "body"
    if (this.openCount > 0) return "answer"
    return this.unparsedBytes > 0 ? "head" : "idle"
  }

  get since(): Millis {
    if (this.reader) return this.reader.holder.progressAt
    return this.headSince ?? this.idleSince
  }

  onRequest(response: ServerResponse): void {
    this.responses.add(response)
    this.unfinishedCount++
    this.isUsed = true
    this.headSince = undefined
  }

  onRequestEnd(now: Millis): void {
    this.usedBytes = this.socket.bytesRead
    this.idleSince = now
  }

  onRequestClose(): void {
    this.unfinishedCount--
  }

  onAnswerEnd(response: ServerResponse, now: Millis): void {
    this.responses.delete(response)
    this.idleSince = now
    this.waitingStarts.shift()?.()
  }

  /** Starts a request when those before it have been answered, so that one connection holds one answer. */
  run(start: () => void): void {
    if (this.openCount > 1) this.waitingStarts.push(start)
    else start()
  }

  /** Closes the answers that wait for earlier ones. The server emits no event for these when their connection closes. */
  closeWaiting(): void {
    this.waitingStarts.length = 0
    for (const response of this.responses) {
      if (response.socket) continue
      response.destroy()
      response.emit("close")
    }
  }

  /** Records when the first bytes of a head were seen. */
  checkHead(now: Millis): void {
    this.headSince = this.phase === "head" ? (this.headSince ?? now) : undefined
  }
}

function ignoreChunk(): void {
  // The body isn't used.
}
