import type { InstanceId } from "@galenaway/core"
import type { Timing } from "../configuration/backoff.js"
import type { ConfigurationKeeper } from "../configuration/keeper.js"
import type { ConfigurationPeers } from "../configuration/peers.js"
import type { RevisionSource, InstanceRevision } from "./ports.js"

const ANSWER_LIMIT_MS = 1000

/** Asks every live peer for its configuration; a peer that gives the asked or a higher revision has it in force. */
export class PeerRevisionSource implements RevisionSource {
  constructor(
    private readonly self: InstanceId,
    private readonly keeper: Pick<ConfigurationKeeper, "revision">,
    private readonly peers: ConfigurationPeers,
    private readonly timing: Pick<Timing, "pause">,
  ) {}

  async fetchRevisions(revision: number): Promise<readonly InstanceRevision[]> {
    const own: InstanceRevision = {
      instance: this.self,
      state: this.keeper.revision >= revision ? "in-force" : "behind",
    }
    const asked = this.peers.listPeers().map((peer) => this.askPeer(peer, revision))
    return [own, ...(await Promise.all(asked))]
  }

  private async askPeer(instance: InstanceId, revision: number): Promise<InstanceRevision> {
    const abort = new AbortController()
    const limit = this.timing.pause(ANSWER_LIMIT_MS, abort.signal)
    try {
      return await Promise.race([
        this.fetchState(instance, revision),
        limit.then(() => ({ instance, state: "unreachable" as const })),
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
