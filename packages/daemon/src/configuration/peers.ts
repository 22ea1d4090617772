import { type InstanceId, RefusedError } from "@galenaway/core"

/** A configuration document fetched from a peer. */
export interface FetchedConfiguration {
  readonly revision: number
  readonly document: string
}

/** Access to the configurations of the other instances. */
export interface ConfigurationPeers {
  /** Lists the known peers, including those that don't answer. */
  listPeers(): readonly InstanceId[]
  /**
   * Fetches the document of a peer. Resolves to undefined if its revision is not
   * above `aboveRevision`. Rejects if the peer doesn't answer.
   */
  fetch(peer: InstanceId, aboveRevision: number): Promise<FetchedConfiguration | undefined>
}

/** The peers of an instance that has none. */
export const noPeers: ConfigurationPeers = {
  listPeers: () => [],
  fetch: () => Promise.resolve(undefined),
}

/** Creates peers that are listed by their addresses and reject every call. */
export function createUnreachablePeers(addresses: readonly InstanceId[]): ConfigurationPeers {
  return {
    listPeers: () => addresses,
    fetch: (peer) =>
      Promise.reject(new RefusedError("peer-down", "peer", peer, "no interface between instances")),
  }
}
