import { connect } from "node:net"

const PROBE_TIMEOUT_MS = 500

/**
 * What a fresh connection tells of a process. Only `gone` is certain: the
 * kernel refuses a connection when no process listens, also while a process
 * that listens is paused.
 */
export type ProbeResult = "listening" | "gone" | "silent"

/** Opens a connection to a peer's address and closes it. */
export function probeProcess(address: string): Promise<ProbeResult> {
  const [host = "", port = ""] = address.split(":")
  return new Promise((resolve) => {
    const socket = connect(Number(port), host)
    const settle = (result: ProbeResult) => {
      socket.destroy()
      resolve(result)
    }
    socket.setTimeout(PROBE_TIMEOUT_MS, () => {
      settle("silent")
    })
    socket.once("connect", () => {
      settle("listening")
    })
    socket.once("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === "ECONNREFUSED" ? "gone" : "silent")
    })
  })
}
