import { waitFor } from "@galenaway/core"
import type { Clock } from "@galenaway/core"
import type { Heartbeat } from "../generated/peer.js"
import type { PeerCaller } from "../peer/client.js"
import type { PeerRow, PeerTable } from "./peers.js"

const ROUND_INTERVAL_MS = 500
const CALL_TIMEOUT_MS = 1000
const PING_TIMEOUT_MS = 300
/** Peers that are called in one round. With more, the rounds take turns. */
const PEERS_PER_ROUND_COUNT = 3

/** Exchanges heartbeats with the other instances. Each exchange tells both sides of each other. */
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

  /** Starts the rounds. */
  start(): void {
    void this.run()
  }

  /** Stops the rounds. */
  stop(): void {
    this.stopped.abort()
  }

  /** Calls every peer at once, as when there is news that can't wait for its turn. */
  async exchangeWithAll(): Promise<void> {
    await Promise.all(this.peers.list().map((row) => this.exchangeWith(row)))
  }

  /** Tells whether the peer at an address answers at once. */
  async isResponsive(address: string): Promise<boolean> {
    const row = this.peers.list().find((each) => each.address === address)
    return row !== undefined && (await this.exchangeWith(row, PING_TIMEOUT_MS))
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped
    while (!signal.aborted) {
      const startedAt = this.clock.now()
      await Promise.all(this.selectPeers().map((row) => this.exchangeWith(row)))
      const left = ROUND_INTERVAL_MS - (this.clock.now() - startedAt)
      if (left > 0) await waitFor(left, signal)
    }
  }

  /** Those whose turn it is, and every one that left its last call unanswered. */
  private selectPeers(): readonly PeerRow[] {
    const rows = this.peers.list()
    if (rows.length <= PEERS_PER_ROUND_COUNT) return rows
    const start = (this.roundIndex++ * PEERS_PER_ROUND_COUNT) % rows.length
    const due = [...rows.slice(start), ...rows.slice(0, start)].slice(0, PEERS_PER_ROUND_COUNT)
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
