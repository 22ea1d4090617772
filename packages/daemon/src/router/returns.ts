import type { Incarnation } from "@galenaway/core"
import type { GrantReturn } from "../peer/codec.js"
import type { PeerCaller } from "../peer/client.js"
import type { OwnershipDocuments } from "../ownership/documents.js"

const FLUSH_INTERVAL_MS = 10
const RETRY_INTERVAL_MS = 200
/**
 * Above this count the oldest return is discarded. The owner then can't evict
 * the adapter of its grant until this instance has ended.
 */
const MAX_PENDING_COUNT = 10_000

/** A return, and the lowest epoch of an owner that may receive it. */
interface PendingReturn {
  readonly returned: GrantReturn
  readonly getMinimumEpoch: () => number
}

/**
 * Returns grants to the current owners of their endpoints, in batches and with
 * retries until acknowledged.
 */
export class ReturnQueue {
  private pending: PendingReturn[] = []
  private timer: NodeJS.Timeout | undefined

  constructor(
    private readonly self: Incarnation,
    private readonly documents: OwnershipDocuments,
    private readonly caller: PeerCaller,
    private readonly handleLocalReturns: (returns: readonly GrantReturn[]) => void,
  ) {}

  /**
   * Queues a return. It is sent only to an owner whose epoch is at least
   * `getMinimumEpoch()`: a successor that has requested this instance's holdings
   * counts the grant as held, so the return must reach the successor.
   */
  add(returned: GrantReturn, getMinimumEpoch: () => number): void {
    if (this.pending.length >= MAX_PENDING_COUNT) this.pending.shift()
    this.pending.push({ returned, getMinimumEpoch })
    this.schedule(FLUSH_INTERVAL_MS)
  }

  /**
   * Sends the pending returns without delay. Resolves when each is acknowledged
   * or queued again.
   */
  async flush(): Promise<void> {
    clearTimeout(this.timer)
    this.timer = undefined
    const batch = this.pending
    this.pending = []
    await Promise.all(
      [...this.groupByOwner(batch)].map(([owner, group]) => this.send(owner, group)),
    )
    if (this.pending.length > 0) this.schedule(RETRY_INTERVAL_MS)
  }

  private schedule(ms: number): void {
    this.timer ??= setTimeout(() => void this.flush(), ms)
  }

  private groupByOwner(batch: readonly PendingReturn[]): ReadonlyMap<Incarnation, PendingReturn[]> {
    const groups = new Map<Incarnation, PendingReturn[]>()
    for (const entry of batch) {
      const owner = this.findOwner(entry)
      if (owner === undefined) this.pending.push(entry)
      else groups.set(owner, [...(groups.get(owner) ?? []), entry])
    }
    return groups
  }

  private findOwner({ returned, getMinimumEpoch }: PendingReturn): Incarnation | undefined {
    const ownership = this.documents.findOwnership(returned.endpoint)
    return ownership && ownership.epoch >= getMinimumEpoch() ? ownership.owner : undefined
  }

  private async send(owner: Incarnation, group: readonly PendingReturn[]): Promise<void> {
    const returns = group.map(({ returned }) => returned)
    if (owner === this.self) {
      this.handleLocalReturns(returns)
      return
    }
    const address = this.documents.findMember(owner)?.peerAddress
    try {
      if (address === undefined) throw new Error("the owner has no address")
      await this.caller.returnGrants(address, returns)
    } catch {
      this.pending.push(...group)
    }
  }
}
