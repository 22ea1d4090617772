import { type InstanceId, RefusedError } from "@galenaway/core"

/** A configuration document from a peer. */
export interface FetchedConfiguration {
  readonly revision: number
  readonly document: string
}

/** The other instances, as far as configuration goes. */
export interface ConfigurationPeers {
  /** Lists the live peers. */
  listPeers(): readonly InstanceId[]
  /** Asks a peer for its document. Returns undefined when its revision isn't above the given one; fails when it doesn't answer. */
  fetch(peer: InstanceId, aboveRevision: number): Promise<FetchedConfiguration | undefined>
}

/** The peers of an instance that stands alone. */
export const noPeers: ConfigurationPeers = {
  listPeers: () => [],
  fetch: () => Promise.resolve(undefined),
}

/** Peers that are known by their addresses and can't be asked. */
export function createUnreachablePeers(addresses: readonly InstanceId[]): ConfigurationPeers {
  return {
    listPeers: () => addresses,
    fetch: (peer) =>
      Promise.reject(new RefusedError("peer-down", "peer", peer, "no interface between instances")),
  }
}
