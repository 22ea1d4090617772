import type { Socket } from "node:net"
import { buildConnector } from "undici"
import type { Millis } from "@galenaway/core"

let isResetInProgress = false

/**
 * Returns whether the calling code runs while a connection reset is handled.
 * The HTTP client reports an answer without a length as complete when its
 * connection is reset; nothing else distinguishes that from an orderly end.
 */
export function isHandlingReset(): boolean {
  return isResetInProgress
}

/** Builds a connector whose connections record a reset before the HTTP client handles it. See `isHandlingReset`. `onConnected` is called with the time that a connection took to open. */
export function buildResetAwareConnector(
  options: buildConnector.BuildOptions,
  onConnected: (ms: Millis) => void,
): buildConnector.connector {
  const connect = buildConnector(options)
  return (target, callback) => {
    const startedAt = performance.now()
    connect(target, (...result) => {
      const [, socket] = result
      if (socket) onConnected(performance.now() - startedAt)
      socket?.on("error", recordReset)
      socket?.on("end", () => {
        if (!hasPeerAddress(socket)) recordReset()
      })
      callback(...result)
    })
  }
}

/**
 * Returns whether the kernel has the peer's address. A reset that arrives
 * together with the last bytes is reported as an orderly end, but the kernel
 * has then cleared the address; after an orderly end it is still set.
 */
function hasPeerAddress(socket: Socket): boolean {
  return socket.remotePort !== undefined
}

/** Sets the flag until all listeners of the current event have run; the HTTP client's own listener runs after this one. */
function recordReset(): void {
  isResetInProgress = true
  process.nextTick(() => {
    isResetInProgress = false
  })
}
