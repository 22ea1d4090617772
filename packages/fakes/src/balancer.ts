import { connect, createServer, type Server, type Socket } from "node:net"
import type { AddressInfo } from "node:net"
import type { RunningServer } from "./server.js"

const CONNECT_TIMEOUT_MS = 500

/** An address behind the balancer. */
export interface BalancerTarget {
  readonly host: string
  readonly port: number
}

/**
 * Starts the platform's balancer: a plain TCP relay that opens each caller's
 * connection to the next target in turn, and to the one after when that
 * doesn't answer.
 */
export async function startBalancer(
  port: number,
  targets: readonly BalancerTarget[],
): Promise<RunningServer> {
  const sockets = new Set<Socket>()
  let turn = 0
  const server = createServer((caller) => {
    sockets.add(caller)
    caller.on("close", () => sockets.delete(caller))
    relayConnection(caller, targets, turn++)
  })
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, "127.0.0.1", resolve)
  })
  const actual = (server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${actual}`,
    port: actual,
    close: () => closeRelay(server, sockets),
  }
}

function relayConnection(
  caller: Socket,
  targets: readonly BalancerTarget[],
  turn: number,
  tried = 0,
): void {
  const target = targets[turn % targets.length]
  if (!target || tried === targets.length) {
    caller.destroy()
    return
  }
  const upstream = connect(target.port, target.host)
  upstream.setTimeout(CONNECT_TIMEOUT_MS, () => upstream.destroy(new Error("connect timeout")))
  const failOver = () => {
    relayConnection(caller, targets, turn + 1, tried + 1)
  }
  upstream.once("error", failOver)
  upstream.once("connect", () => {
    upstream.setTimeout(0)
    upstream.off("error", failOver)
    joinSockets(caller, upstream)
  })
}

function joinSockets(caller: Socket, upstream: Socket): void {
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
