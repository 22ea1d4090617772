import type { InstanceId } from "@galenaway/core"
import type { RetryTiming } from "../configuration/backoff.js"
import type { ActiveConfiguration } from "../configuration/active-configuration.js"
import type { ConfigurationPeers } from "../configuration/peers.js"
import type { InstanceRevision, RevisionSource } from "./ports.js"

const PEER_TIMEOUT_MS = 1000

/** Fetches the configuration of every known peer. A peer has a revision in force when it sends this revision or a higher one. */
export class PeerRevisionSource implements RevisionSource {
  constructor(
    private readonly self: InstanceId,
    private readonly activeConfiguration: Pick<ActiveConfiguration, "revision">,
    private readonly peers: ConfigurationPeers,
    private readonly timing: Pick<RetryTiming, "pause">,
  ) {}

  async fetchRevisions(revision: number): Promise<readonly InstanceRevision[]> {
    const own: InstanceRevision = {
      instance: this.self,
      state: this.activeConfiguration.revision >= revision ? "in-force" : "behind",
    }
    const states = this.peers.listPeers().map((peer) => this.fetchWithTimeout(peer, revision))
    return [own, ...(await Promise.all(states))]
  }

  private async fetchWithTimeout(
    instance: InstanceId,
    revision: number,
  ): Promise<InstanceRevision> {
    const abort = new AbortController()
    const timeout = this.timing.pause(PEER_TIMEOUT_MS, abort.signal)
    try {
      return await Promise.race([
        this.fetchState(instance, revision),
        timeout.then(() => ({ instance, state: "unreachable" as const })),
      ])
    } finally {
      abort.abort()
    }
  }

  private async fetchState(instance: InstanceId, revision: number): Promise<InstanceRevision> {
    try {
      const found = await this.peers.fetch(instance, revision - 1)
      const isInForce = revision === 0 || (found?.revision ?? 0) >= revision
      return { instance, state: isInForce ? "in-force" : "behind" }
    } catch {
      return { instance, state: "unreachable" }
    }
  }
}
