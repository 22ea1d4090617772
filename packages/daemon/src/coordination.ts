import type { Server } from "@grpc/grpc-js"
import {
  type Clock,
  type EndpointId,
  type EndpointInfo,
  type Incarnation,
  type PlatformPort,
  type Router,
  waitFor,
} from "@galenaway/core"
import type { MemberEvent, MemberReply, OwnershipDocument } from "@galenaway/coordination"
import type { Log, Metrics, Recorder } from "@galenaway/observe"
import type { ConfigurationPeers } from "./configuration/peers.js"
import type { StoredActiveConfiguration } from "./configuration/stored-active-configuration.js"
import type { EngineMap } from "./container.js"
import type { Heartbeat } from "./generated/peer.js"
import { OwnershipDocuments } from "./ownership/documents.js"
import { Heartbeats } from "./ownership/heartbeats.js"
import { LocalMember } from "./ownership/local-member.js"
import { Membership } from "./ownership/membership.js"
import { OwnedEndpoints } from "./ownership/owned.js"
import { LoadShares } from "./ownership/shares.js"
import { PeerTable } from "./ownership/peers.js"
import { PeriodicTasks } from "./ownership/periodic-tasks.js"
import { PeerCaller } from "./peer/client.js"
import { type PeerHandlers, startPeerServer } from "./peer/server.js"
import { CoordinatedRouter } from "./router/coordinated.js"
import { Dispatcher } from "./router/dispatcher.js"
import { OwnerlessRouter } from "./router/ownerless.js"
import { ReturnQueue } from "./router/returns.js"
import { formatDigest, EndpointViewTable } from "./router/views.js"
import type { Settings } from "./settings.js"

const POLL_INTERVAL_MS = 20
const HANDOVER_LIMIT_MS = 5000
const REMOVAL_LIMIT_MS = 2000
const PENDING_ORDERS_LIMIT_MS = 3000

/** The dependencies of a {@link Coordination}. */
export interface CoordinationDependencies {
  readonly settings: Settings
  readonly incarnation: Incarnation
  readonly platform: PlatformPort
  readonly engines: EngineMap
  readonly clock: Clock
  readonly recorder: Recorder
  readonly metrics: Metrics
  readonly log: Log
  readonly activeConfiguration: StoredActiveConfiguration
}

/**
 * Creates and connects the components that coordinate one instance with the
 * others: membership, ownership, grants as owner and as holder, heartbeats, and
 * the router that uses them.
 */
export class Coordination {
  readonly router: Router
  /**
   * Access to the configurations of the other instances, identified by the
   * address of their peer interface.
   */
  readonly configurationPeers: ConfigurationPeers
  readonly caller: PeerCaller
  readonly peers: PeerTable
  readonly documents: OwnershipDocuments
  readonly membership: Membership
  readonly owned: OwnedEndpoints
  readonly dispatcher: Dispatcher
  readonly views: EndpointViewTable
  readonly localMember: LocalMember
  private readonly returns: ReturnQueue
  private readonly heartbeats: Heartbeats
  private readonly periodicTasks: PeriodicTasks
  private readonly shares: LoadShares
  private server: Server | undefined
  private isLeaving = false
  private revisionListener: (peer: string, revision: number) => void = () => undefined

  constructor(private readonly deps: CoordinationDependencies) {
    const { settings, incarnation, platform, engines, clock, recorder, metrics, log } = deps
    const infos = indexEngines(settings.endpoints)
    const dataCentres = [...new Set([...infos.values()].map((info) => info.dataCentre))]
    this.shares = new LoadShares(incarnation, infos.size, clock)
    this.localMember = new LocalMember(incarnation)
    this.caller = new PeerCaller(incarnation, settings.peerKey, recorder)
    this.peers = new PeerTable(clock, settings.dataCentre)
    this.documents = new OwnershipDocuments(incarnation, dataCentres, platform, recorder, log)
    this.membership = new Membership(
      {
        incarnation,
        instance: settings.id,
        dataCentre: settings.dataCentre,
        peerAddress: formatAddress(settings),
      },
      settings.endpoints,
      this.documents,
      this.peers,
      clock,
      recorder,
      log,
    )
    this.owned = new OwnedEndpoints(
      incarnation,
      infos,
      engines,
      this.caller,
      this.membership,
      this.localMember.handle,
      this.shares,
      clock,
      recorder,
      log,
    )
    this.dispatcher = new Dispatcher(
      incarnation,
      deps.activeConfiguration.getPolicy(),
      this.owned,
      infos,
      engines,
      clock,
      (endpoint) => this.views.getPhase(endpoint),
      recorder,
      metrics,
      log,
    )
    this.views = new EndpointViewTable(
      incarnation,
      [...infos.values()],
      this.documents,
      this.peers,
      clock,
      (endpoint) => this.dispatcher.readLoad(endpoint),
    )
    const { documents, membership, owned, shares, dispatcher, views } = this
    this.periodicTasks = new PeriodicTasks({
      ...deps,
      documents,
      membership,
      owned,
      shares,
      dispatcher,
      views,
    })
    this.returns = new ReturnQueue(incarnation, this.documents, this.caller, (returns) => {
      this.dispatcher.handleReturns(returns)
    })
    const ownerless = new OwnerlessRouter(
      incarnation,
      this.documents,
      this.peers,
      this.caller,
      engines,
      clock,
      recorder,
      this.localMember.handle,
    )
    this.heartbeats = new Heartbeats(
      this.caller,
      this.peers,
      clock,
      () => this.createHeartbeat(),
      (heartbeat) => {
        this.handleHeartbeat(heartbeat)
      },
      (address) => {
        this.membership.handleFailedCall(address)
      },
    )
    this.configurationPeers = {
      listPeers: () => this.peers.list().map((row) => row.address),
      fetch: (peer, aboveRevision) => this.caller.fetchConfiguration(peer, aboveRevision),
    }
    this.router = new CoordinatedRouter({
      self: incarnation,
      localDataCentre: settings.dataCentre,
      views: this.views,
      documents: this.documents,
      caller: this.caller,
      dispatcher: this.dispatcher,
      returns: this.returns,
      ownerless,
      clock,
      recorder,
      handleMemberEvent: this.localMember.handle,
      getMinimumEpoch: this.localMember.getMinimumEpoch,
      handleFailedCall: (address) => {
        this.membership.handleFailedCall(address)
      },
      isResponsive: (address) => this.heartbeats.isResponsive(address),
    })
  }

  /** Sets the listener that is called with the configuration revision of each peer's heartbeat. */
  onRevision(listener: (peer: string, revision: number) => void): void {
    this.revisionListener = listener
  }

  /**
   * Joins the fleet. Resolves when the server for peers accepts calls and all
   * tasks are started.
   */
  async start(): Promise<void> {
    const { settings, recorder } = this.deps
    const { host, port } = settings.peerListen
    this.server = await startPeerServer(
      { host, port },
      settings.peerKey,
      recorder,
      this.createHandlers(),
    )
    for (const peer of settings.peers) this.peers.add(`${peer.host}:${peer.port}`)
    this.documents.onChange((document) => {
      this.handleDocument(document)
    })
    this.membership.onProcessEnded((incarnation) => {
      this.shares.handleProcessEnded(incarnation, this.owned.listOwnerships())
      this.periodicTasks.updateShare()
    })
    this.membership.onOrdersExpired((incarnation) => {
      this.dispatcher.handleMemberGone(incarnation)
    })
    this.dispatcher.start()
    this.documents.start()
    this.membership.start()
    this.heartbeats.start()
    this.periodicTasks.start()
  }

  /** Waits until every engine of this data centre is reachable, for at most `limitMs`. */
  async waitForOwners(limitMs: number): Promise<void> {
    const { settings, clock } = this.deps
    const end = clock.now() + limitMs
    const isReady = () =>
      this.views
        .list()
        .filter((view) => view.info.dataCentre === settings.dataCentre)
        .every((view) => view.isReachable)
    while (!isReady() && clock.now() < end) await waitFor(POLL_INTERVAL_MS)
  }

  /** Returns the monotonic time of the coordination's clock, in milliseconds. */
  now(): number {
    return this.deps.clock.now()
  }

  /**
   * Transfers the owned endpoints to other members and notifies the peers.
   * Running requests continue.
   */
  async leave(): Promise<void> {
    this.isLeaving = true
    await this.membership.leave(HANDOVER_LIMIT_MS)
    await this.heartbeats.exchangeWithAll()
  }

  /**
   * Leaves the fleet and stops all components. All requests must have ended. If
   * orders of this instance can still take effect, its entry in the documents
   * remains, and the other instances have to detect that its process has ended.
   */
  async stop(): Promise<void> {
    await this.returns.flush()
    if (await this.waitForPendingOrders(PENDING_ORDERS_LIMIT_MS))
      await this.membership.removeSelf(REMOVAL_LIMIT_MS)
    this.periodicTasks.stop()
    this.heartbeats.stop()
    this.documents.stop()
    this.dispatcher.stop()
    this.server?.forceShutdown()
    this.caller.close()
  }

  /**
   * Waits until no order of this instance can take effect, for at most
   * `limitMs`. Returns whether none remains.
   */
  private async waitForPendingOrders(limitMs: number): Promise<boolean> {
    const end = this.deps.clock.now() + limitMs
    while (this.owned.hasPendingOrders() && this.deps.clock.now() < end)
      await waitFor(POLL_INTERVAL_MS)
    return !this.owned.hasPendingOrders()
  }

  private createHandlers(): PeerHandlers {
    const { clock, activeConfiguration } = this.deps
    return {
      submitGrantRequest: (submission, signal) => this.dispatcher.submit(submission, signal),
      handleReturns: (returns) => {
        this.dispatcher.handleReturns(returns)
      },
      handleMemberEvent: (event) => this.handlePeerEvent(event),
      exchange: (heartbeat) => {
        this.handleHeartbeat(heartbeat)
        return this.createHeartbeat()
      },
      getConfiguration: () => ({
        revision: activeConfiguration.revision,
        document: activeConfiguration.document,
      }),
      now: () => clock.now(),
    }
  }

  /**
   * Handles an event from a peer. If a successor requests the holdings of an
   * endpoint, this instance's share of the load budget is reduced before the
   * reply is sent.
   */
  private handlePeerEvent(event: MemberEvent): MemberReply {
    const reply = this.localMember.handle(event)
    if (event.kind === "holdings-asked" && reply.kind === "holdings") {
      this.shares.releaseShare(event.endpoint, event.epoch)
      this.periodicTasks.updateShare()
    }
    return reply
  }

  private createHeartbeat(): Omit<Heartbeat, "time"> {
    const { settings, incarnation, activeConfiguration } = this.deps
    const endpoints = this.owned.listActive().flatMap(({ endpoint }) => {
      const load = this.dispatcher.readLoad(endpoint)
      return load ? [formatDigest(endpoint, this.views.getPhase(endpoint), load)] : []
    })
    return {
      incarnation,
      instance: settings.id,
      dataCentre: settings.dataCentre,
      peerAddress: formatAddress(settings),
      isLeaving: this.isLeaving,
      configurationRevision: activeConfiguration.revision,
      endpoints,
    }
  }

  private handleHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.incarnation === this.deps.incarnation) return
    const replaced = this.peers.recordHeartbeat(heartbeat)
    if (replaced !== undefined) this.membership.handleGone(replaced)
    this.views.handleDigests(heartbeat.endpoints)
    this.revisionListener(heartbeat.peerAddress, heartbeat.configurationRevision)
  }

  private handleDocument(document: OwnershipDocument): void {
    this.periodicTasks.updateShare()
    const members = document.members.map((member) => member.incarnation)
    for (const ownership of document.ownerships) {
      this.localMember.handle({ kind: "ownership-seen", ownership })
      this.owned.handleOwnership(ownership, members)
    }
  }
}

function indexEngines(endpoints: readonly EndpointInfo[]): ReadonlyMap<EndpointId, EndpointInfo> {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(engines.map((info) => [info.id, info]))
}

function formatAddress({ peerListen }: Settings): string {
  return `${peerListen.host}:${peerListen.port}`
}
