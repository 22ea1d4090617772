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
import type { StoredConfigurationKeeper } from "./configuration/stored.js"
import type { EngineMap } from "./container.js"
import type { Heartbeat } from "./generated/peer.js"
import { OwnershipDocuments } from "./ownership/documents.js"
import { Heartbeats } from "./ownership/heartbeats.js"
import { Holder } from "./ownership/holder.js"
import { Membership } from "./ownership/membership.js"
import { OwnedEndpoints } from "./ownership/owned.js"
import { LoadShares } from "./ownership/shares.js"
import { PeerTable } from "./ownership/peers.js"
import { Upkeep } from "./ownership/upkeep.js"
import { PeerCaller } from "./peer/client.js"
import { type PeerHandlers, startPeerServer } from "./peer/server.js"
import { CoordinatedRouter } from "./router/coordinated.js"
import { Dispatcher } from "./router/dispatcher.js"
import { OwnerlessRouter } from "./router/ownerless.js"
import { ReturnQueue } from "./router/returns.js"
import { formatDigest, ViewTable } from "./router/views.js"
import type { Settings } from "./settings.js"

const READY_POLL_MS = 20
const HANDOVER_LIMIT_MS = 5000
const FINISH_LIMIT_MS = 2000
const ORDERS_LIMIT_MS = 3000

/** What the coordination of an instance needs from the daemon. */
export interface CoordinationParts {
  readonly settings: Settings
  readonly incarnation: Incarnation
  readonly platform: PlatformPort
  readonly engines: EngineMap
  readonly clock: Clock
  readonly recorder: Recorder
  readonly metrics: Metrics
  readonly log: Log
  readonly keeper: StoredConfigurationKeeper
}

/**
 * The coordination of one instance: membership and ownership, grants as owner
 * and as holder, heartbeats, and the router over them.
 */
export class Coordination {
  readonly router: Router
  /** The other instances, as far as configuration goes, by the address of their peer interface. */
  readonly configurationPeers: ConfigurationPeers
  readonly caller: PeerCaller
  readonly peers: PeerTable
  readonly documents: OwnershipDocuments
  readonly membership: Membership
  readonly owned: OwnedEndpoints
  readonly dispatcher: Dispatcher
  readonly views: ViewTable
  readonly holder: Holder
  private readonly returns: ReturnQueue
  private readonly heartbeats: Heartbeats
  private readonly upkeep: Upkeep
  private readonly shares: LoadShares
  private server: Server | undefined
  private isLeaving = false
  private handleRevision: (peer: string, revision: number) => void = () => undefined

  constructor(private readonly parts: CoordinationParts) {
    const { settings, incarnation, platform, engines, clock, recorder, metrics, log } = parts
    const infos = mapEngines(settings.endpoints)
    const dataCentres = [...new Set([...infos.values()].map((info) => info.dataCentre))]
    this.shares = new LoadShares(incarnation, infos.size, clock)
    this.holder = new Holder(incarnation)
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
      this.holder.handle,
      this.shares,
      clock,
      recorder,
      log,
    )
    this.dispatcher = new Dispatcher(
      incarnation,
      parts.keeper.getPolicy(),
      this.owned,
      infos,
      engines,
      clock,
      (endpoint) => this.views.getPhase(endpoint),
      recorder,
      metrics,
      log,
    )
    this.views = new ViewTable(
      incarnation,
      [...infos.values()],
      this.documents,
      this.peers,
      clock,
      (endpoint) => this.dispatcher.readLoad(endpoint),
    )
    const { documents, membership, owned, shares, dispatcher, views } = this
    this.upkeep = new Upkeep({
      ...parts,
      documents,
      membership,
      owned,
      shares,
      dispatcher,
      views,
    })
    this.returns = new ReturnQueue(incarnation, this.documents, this.caller, (returns) => {
      this.dispatcher.takeReturns(returns)
    })
    const ownerless = new OwnerlessRouter(
      incarnation,
      this.documents,
      this.peers,
      this.caller,
      engines,
      clock,
      recorder,
      this.holder.handle,
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
      home: settings.dataCentre,
      views: this.views,
      documents: this.documents,
      caller: this.caller,
      dispatcher: this.dispatcher,
      returns: this.returns,
      ownerless,
      clock,
      recorder,
      handleMember: this.holder.handle,
      getMinimumEpoch: this.holder.getMinimumEpoch,
      handleFailedCall: (address) => {
        this.membership.handleFailedCall(address)
      },
      isAnswering: (address) => this.heartbeats.isAnswering(address),
    })
  }

  /** Calls a listener with the configuration's revision that each peer's heartbeat tells. */
  onRevision(listener: (peer: string, revision: number) => void): void {
    this.handleRevision = listener
  }

  /** Joins the fleet. It resolves when peers can call this instance. */
  async start(): Promise<void> {
    const { settings, recorder } = this.parts
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
    this.membership.onEnded((incarnation) => {
      this.shares.handleEnded(incarnation, this.owned.listOwnerships())
      this.upkeep.updateShare()
    })
    this.membership.onGone((incarnation) => {
      this.dispatcher.handleGone(incarnation)
    })
    this.dispatcher.start()
    this.documents.start()
    this.membership.start()
    this.heartbeats.start()
    this.upkeep.start()
  }

  /** Waits until every engine of this data centre can be reached, or until the limit, in milliseconds. */
  async waitForOwners(limitMs: number): Promise<void> {
    const { settings, clock } = this.parts
    const end = clock.now() + limitMs
    const isReady = () =>
      this.views
        .list()
        .filter((view) => view.info.dataCentre === settings.dataCentre)
        .every((view) => view.isReachable)
    while (!isReady() && clock.now() < end) await waitFor(READY_POLL_MS)
  }

  /** The monotonic time that the coordination runs on, in milliseconds. */
  now(): number {
    return this.parts.clock.now()
  }

  /** Hands the owned endpoints over. Running requests go on. */
  async leave(): Promise<void> {
    this.isLeaving = true
    await this.membership.leave(HANDOVER_LIMIT_MS)
    await this.heartbeats.callAll()
  }

  /** Leaves the fleet. No request runs any more. */
  async stop(): Promise<void> {
    await this.returns.flush()
    if (await this.waitForOrders(ORDERS_LIMIT_MS)) await this.membership.finish(FINISH_LIMIT_MS)
    this.upkeep.stop()
    this.heartbeats.stop()
    this.documents.stop()
    this.dispatcher.stop()
    this.server?.forceShutdown()
    this.caller.close()
  }

  /** Waits until no order of this instance can still take effect. Otherwise others must find out that it has ended. */
  private async waitForOrders(limitMs: number): Promise<boolean> {
    const end = this.parts.clock.now() + limitMs
    while (this.owned.hasOpenOrders() && this.parts.clock.now() < end) await waitFor(READY_POLL_MS)
    return !this.owned.hasOpenOrders()
  }

  private createHandlers(): PeerHandlers {
    const { clock, keeper } = this.parts
    return {
      grant: (question, signal) => this.dispatcher.submit(question, signal),
      takeReturns: (returns) => {
        this.dispatcher.takeReturns(returns)
      },
      handleMember: (event) => this.handlePeerEvent(event),
      exchange: (heartbeat) => {
        this.handleHeartbeat(heartbeat)
        return this.createHeartbeat()
      },
      getConfiguration: () => ({ revision: keeper.revision, document: keeper.document }),
      now: () => clock.now(),
    }
  }

  /** Handles what a peer asks of this member. A successor's question ends this instance's part of the load budget first. */
  private handlePeerEvent(event: MemberEvent): MemberReply {
    const reply = this.holder.handle(event)
    if (event.kind === "holdings-asked" && reply.kind === "holdings") {
      this.shares.handleAsked(event.endpoint, event.epoch)
      this.upkeep.updateShare()
    }
    return reply
  }

  private createHeartbeat(): Omit<Heartbeat, "time"> {
    const { settings, incarnation, keeper } = this.parts
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
      configurationRevision: keeper.revision,
      endpoints,
    }
  }

  private handleHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.incarnation === this.parts.incarnation) return
    const replaced = this.peers.hear(heartbeat)
    if (replaced !== undefined) this.membership.handleGone(replaced)
    this.views.handleDigests(heartbeat.endpoints)
    this.handleRevision(heartbeat.peerAddress, heartbeat.configurationRevision)
  }

  private handleDocument(document: OwnershipDocument): void {
    this.upkeep.updateShare()
    const members = document.members.map((member) => member.incarnation)
    for (const ownership of document.ownerships) {
      this.holder.handle({ kind: "ownership-seen", ownership })
      this.owned.handleOwnership(ownership, members)
    }
  }
}

function mapEngines(endpoints: readonly EndpointInfo[]): ReadonlyMap<EndpointId, EndpointInfo> {
  const engines = endpoints.filter((endpoint) => endpoint.kind === "engine")
  return new Map(engines.map((info) => [info.id, info]))
}

function formatAddress({ peerListen }: Settings): string {
  return `${peerListen.host}:${peerListen.port}`
}
