import { type StorePort, waitFor } from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { DependencyState } from "../catalogue/dependency.js"
import { formatInstance, formatInstanceKey, type RegisteredInstance } from "./records.js"

const LEASE_TTL_MS = 2000
const RENEW_INTERVAL_MS = 700
const STORE_TIMEOUT_MS = 700

/** Keeps this instance registered under a lease, so that its registration is removed soon after the process ends. */
export class Membership {
  private readonly abort = new AbortController()
  private readonly dependency: DependencyState
  private lease: string | undefined
  private isWritten = false

  constructor(
    private readonly store: StorePort,
    private self: RegisteredInstance,
    private readonly log: Log,
  ) {
    this.dependency = new DependencyState("store-lease", log)
  }

  /** Starts registering this instance and renewing the lease. Both continue until `stop` is called. */
  start(): void {
    void this.run()
  }

  /** Handles whether the last read listed this instance. A missing registration is written again under a new lease. */
  onListed(isListed: boolean): void {
    if (isListed || !this.isWritten) return
    this.log.warn("own registration is missing, writing it again")
    this.lease = undefined
    this.isWritten = false
  }

  /** Updates the registration to announce that this instance is stopping. Throws a PlatformError on failure. */
  async announceStop(): Promise<void> {
    this.self = { ...this.self, isStopping: true }
    await this.write()
  }

  /** Stops renewing and closes the lease, which removes the registration. Never throws; on failure the lease expires later. */
  async stop(): Promise<void> {
    this.abort.abort()
    if (this.lease === undefined) return
    try {
      await this.store.closeLease(this.lease, STORE_TIMEOUT_MS)
    } catch (error) {
      this.log.warn({ err: error }, "closing the lease failed, it will expire")
    }
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      try {
        await this.renew()
        this.dependency.onSuccess()
      } catch (error) {
        this.dependency.onFailure(error)
      }
      await waitFor(RENEW_INTERVAL_MS, this.abort.signal)
    }
  }

  private async renew(): Promise<void> {
    if (this.lease !== undefined && !(await this.store.renewLease(this.lease, STORE_TIMEOUT_MS))) {
      this.log.warn("lease expired")
      this.lease = undefined
      this.isWritten = false
    }
    if (!this.isWritten) await this.write()
  }

  private async write(): Promise<void> {
    this.lease ??= await this.store.openLease(LEASE_TTL_MS, STORE_TIMEOUT_MS)
    const key = formatInstanceKey(this.self.id)
    const put = { key, value: formatInstance(this.self), lease: this.lease }
    const change = { conditions: [], puts: [put], removals: [] }
    const result = await this.store.runTransaction(change, STORE_TIMEOUT_MS)
    if (result.kind === "done") this.isWritten = true
    else this.lease = undefined
  }
}
