import { waitFor } from "@galenaway/core"
import type { Clock } from "@galenaway/core"
import type { Heartbeat } from "../generated/peer.js"
import type { PeerCaller } from "../peer/client.js"
import type { PeerRow, PeerTable } from "./peers.js"

const ROUND_INTERVAL_MS = 500
const CALL_TIMEOUT_MS = 1000
const PING_TIMEOUT_MS = 300
/** Number of peers called in a round. Successive rounds rotate over all peers. */
const PEER_COUNT_PER_ROUND = 3

/**
 * Exchanges heartbeats with the other instances. Each call carries the
 * heartbeats of both sides.
 */
export class Heartbeats {
  private readonly stopped = new AbortController()
  private roundIndex = 0

  constructor(
    private readonly caller: PeerCaller,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
    private readonly createHeartbeat: () => Omit<Heartbeat, "time">,
    private readonly handleHeartbeat: (heartbeat: Heartbeat) => void,
    private readonly handleFailure: (address: string) => void,
  ) {}

  /** Starts the periodic rounds. */
  start(): void {
    void this.run()
  }

  /** Stops the periodic rounds. */
  stop(): void {
    this.stopped.abort()
  }

  /**
   * Exchanges a heartbeat with every peer at once, for changes that must not
   * wait for the next round.
   */
  async exchangeWithAll(): Promise<void> {
    await Promise.all(this.peers.list().map((row) => this.exchangeWith(row)))
  }

  /**
   * Checks whether the known peer at an address answers a heartbeat within
   * {@link PING_TIMEOUT_MS}.
   */
  async isResponsive(address: string): Promise<boolean> {
    const row = this.peers.list().find((each) => each.address === address)
    return row !== undefined && (await this.exchangeWith(row, PING_TIMEOUT_MS))
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped
    while (!signal.aborted) {
      const startedAt = this.clock.now()
      await Promise.all(this.selectPeers().map((row) => this.exchangeWith(row)))
      const remainingMs = ROUND_INTERVAL_MS - (this.clock.now() - startedAt)
      if (remainingMs > 0) await waitFor(remainingMs, signal)
    }
  }

  /** Selects the next peers in rotation, and all peers that did not answer their last call. */
  private selectPeers(): readonly PeerRow[] {
    const rows = this.peers.list()
    if (rows.length <= PEER_COUNT_PER_ROUND) return rows
    const start = (this.roundIndex++ * PEER_COUNT_PER_ROUND) % rows.length
    const due = [...rows.slice(start), ...rows.slice(0, start)].slice(0, PEER_COUNT_PER_ROUND)
    return [...new Set([...due, ...rows.filter((row) => row.unansweredSince !== undefined)])]
  }

  private async exchangeWith(row: PeerRow, timeoutMs = CALL_TIMEOUT_MS): Promise<boolean> {
    const startedAt = this.clock.now()
    try {
      this.handleHeartbeat(
        await this.caller.exchange(row.address, this.createHeartbeat(), timeoutMs),
      )
      return true
    } catch {
      this.peers.recordFailedCall(row, startedAt)
      this.handleFailure(row.address)
      return false
    }
  }
}
