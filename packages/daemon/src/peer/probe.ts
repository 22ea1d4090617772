import { connect } from "node:net"

const PROBE_TIMEOUT_MS = 500

/**
 * The result of a connection attempt to a process. Only `gone` is conclusive:
 * the kernel refuses connections only if no process listens on the port. It
 * accepts them for a process that listens but is paused.
 */
export type ProbeResult = "listening" | "gone" | "silent"

/** Opens a connection to a peer's address, closes it and returns the result. Never rejects. */
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
