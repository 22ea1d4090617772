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
      socket?.on("error", onSocketError)
      callback(...result)
    })
  }
}

/** Runs before the HTTP client's own listener, which runs within the same emit. */
function onSocketError(): void {
  isResetInProgress = true
  process.nextTick(() => {
    isResetInProgress = false
  })
}
