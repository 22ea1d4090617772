import { connect } from "node:net"
import type { Registration } from "@galenaway/core"
import { parseAddress } from "../server.js"

/** An endpoint on a machine that is down or cut off doesn't answer; that isn't the end of its process. */
const TIMEOUT_MS = 300

/** Returns whether an endpoint's process has ended: the kernel refuses a connection only if nothing listens. Never rejects. */
export function hasEnded({ address }: Registration): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...parseAddress(address), timeout: TIMEOUT_MS })
    const settle = (isEnded: boolean) => {
      socket.destroy()
      resolve(isEnded)
    }
    socket.once("connect", () => {
      settle(false)
    })
    socket.once("timeout", () => {
      settle(false)
    })
    socket.once("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === "ECONNREFUSED")
    })
  })
}
