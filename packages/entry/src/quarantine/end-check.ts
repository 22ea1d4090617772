import { connect } from "node:net"
import { type EndpointId, parseAddress, type Registration } from "@galenaway/core"

/** An endpoint on a machine that is down or cut off doesn't answer; that isn't the end of its process. */
const TIMEOUT_MS = 300

/** Checks whether endpoints have ended, once for all requests that the same end has broken. */
export class EndChecks {
  private readonly running = new Map<EndpointId, Promise<boolean>>()

  /** `hasEnded` checks one endpoint and never rejects; `onEnd` is called once for each end. */
  constructor(
    private readonly hasEnded: (endpoint: Registration) => Promise<boolean>,
    private readonly onEnd: (endpoint: EndpointId) => void,
  ) {}

  /** Returns whether an endpoint has ended. Never rejects. */
  run(endpoint: Registration): Promise<boolean> {
    const { id } = endpoint
    const running = this.running.get(id)
    if (running) return running
    const check = this.hasEnded(endpoint).then((hasEnded) => {
      this.running.delete(id)
      if (hasEnded) this.onEnd(id)
      return hasEnded
    })
    this.running.set(id, check)
    return check
  }
}

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
