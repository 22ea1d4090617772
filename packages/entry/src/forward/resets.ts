import type { Socket } from "node:net"
import { buildConnector } from "undici"

let isResetInProgress = false

/**
 * Tells whether the code runs in the course of a connection's reset. The HTTP
 * client reports an answer without a length as complete when its connection
 * is reset, which can't be told from a proper end any other way.
 */
export function isInReset(): boolean {
  return isResetInProgress
}

/** Builds a connector whose connections announce their resets before the HTTP client learns of them. */
export function buildResetAwareConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options)
  return (target, callback) => {
    connect(target, (...result) => {
      const [, socket] = result
      socket?.on("error", announceReset)
      socket?.on("end", () => {
        if (!hasPeer(socket)) announceReset()
      })
      callback(...result)
    })
  }
}

/**
 * A reset that arrives together with the last bytes is read as an ordinary
 * end. The kernel has then forgotten the peer, which an orderly end leaves.
 */
function hasPeer(socket: Socket): boolean {
  return socket.remotePort !== undefined
}

/** Runs before the HTTP client's own listener, which runs within the same emit. */
function announceReset(): void {
  isResetInProgress = true
  process.nextTick(() => {
    isResetInProgress = false
  })
}
