import { connect, createServer, type Server, type Socket } from "node:net"
import type { AddressInfo } from "node:net"
import type { RunningServer } from "./server.js"

const CONNECT_TIMEOUT_MS = 500

/** An address to which the balancer relays connections. */
export interface BalancerTarget {
  readonly host: string
  readonly port: number
}

/**
 * Starts a stand-in for the platform's balancer: a TCP relay that assigns
 * connections to the targets in turn (round robin). If a target does not accept
 * the connection within 500 ms, it tries the next one; if none accepts, it
 * closes the caller's connection.
 */
export async function startBalancer(
  port: number,
  targets: readonly BalancerTarget[],
): Promise<RunningServer> {
  const sockets = new Set<Socket>()
  let nextIndex = 0
  const server = createServer((caller) => {
    sockets.add(caller)
    caller.on("close", () => sockets.delete(caller))
    relayConnection(caller, targets, nextIndex++)
  })
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, "127.0.0.1", resolve)
  })
  const actualPort = (server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${actualPort}`,
    port: actualPort,
    close: () => closeRelay(server, sockets),
  }
}

function relayConnection(
  caller: Socket,
  targets: readonly BalancerTarget[],
  targetIndex: number,
  attemptCount = 0,
): void {
  const target = targets[targetIndex % targets.length]
  if (!target || attemptCount === targets.length) {
    caller.destroy()
    return
  }
  const upstream = connect(target.port, target.host)
  upstream.setTimeout(CONNECT_TIMEOUT_MS, () => upstream.destroy(new Error("connect timeout")))
  const connectToNext = () => {
    relayConnection(caller, targets, targetIndex + 1, attemptCount + 1)
  }
  upstream.once("error", connectToNext)
  upstream.once("connect", () => {
    upstream.setTimeout(0)
    upstream.off("error", connectToNext)
    pipeSockets(caller, upstream)
  })
}

function pipeSockets(caller: Socket, upstream: Socket): void {
  caller.pipe(upstream)
  upstream.pipe(caller)
  caller.on("error", () => upstream.destroy())
  upstream.on("error", () => caller.destroy())
  caller.on("close", () => upstream.destroy())
  upstream.on("close", () => caller.destroy())
}

function closeRelay(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
  for (const socket of sockets) socket.destroy()
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })
}
