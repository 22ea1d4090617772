import {
  type AdapterKey,
  type AdapterRef,
  type EndpointInfo,
  formatAdapter,
  type Incarnation,
  type InstanceId,
  type Rank,
  RANKS,
} from "@galenaway/core"
import { type EndpointView, rankEndpoints } from "@galenaway/policy"
import type { StoredActiveConfiguration } from "./configuration/stored-active-configuration.js"
import type { ConfigurationWatcher } from "./configuration/watch.js"
import type { Coordination } from "./coordination.js"
import type {
  AdapterStatus,
  EndpointStatus,
  InstanceStatus,
  Problem,
  RouteCandidate,
  RouteExplainer,
  ServingState,
  StatusSource,
} from "./operator/ports.js"
import type { Settings } from "./settings.js"

/** Status and explanations for the coordinated router, based on the owners, resident adapters and queues that instances report to each other. */
export class CoordinatedStatusSource implements StatusSource, RouteExplainer {
  constructor(
    private readonly settings: Settings,
    private readonly coordination: Coordination,
    private readonly activeConfiguration: StoredActiveConfiguration,
    private readonly watch: Pick<ConfigurationWatcher, "isPlatformReachable">,
  ) {}

  listInstances(): readonly InstanceStatus[] {
    const { id, dataCentre } = this.settings
    const own: InstanceStatus = {
      id,
      dataCentre,
      state: this.activeConfiguration.isDrained("instance", id) ? "draining" : "serving",
      owned: this.coordination.owned.listActive().length,
    }
    return [own, ...this.listPeers()]
  }

  listEndpoints(): readonly EndpointStatus[] {
    const views = new Map(this.coordination.views.list().map((view) => [view.info.id, view]))
    return this.settings.endpoints.map((info) => this.describeEndpoint(info, views.get(info.id)))
  }

  listAdapters(): readonly AdapterStatus[] {
    const holders = new Map<AdapterKey, string[]>()
    for (const view of this.coordination.views.list())
      for (const adapter of view.resident)
        holders.set(adapter, [...(holders.get(adapter) ?? []), view.info.id])
    return [...holders]
      .map(([adapter, endpoints]) => ({ adapter, endpoints }))
      .sort((a, b) => b.endpoints.length - a.endpoints.length)
  }

  listProblems(): readonly Problem[] {
    const problems: Problem[] = []
    if (!this.watch.isPlatformReachable)
      problems.push({
        subject: "platform",
        message: "doesn't answer: no changes, no new owners, bookings refused as not run",
      })
    for (const view of this.coordination.views.list()) problems.push(...this.listViewProblems(view))
    for (const { id, state } of this.listInstances())
      if (state === "unreachable")
        problems.push({ subject: `instance ${id}`, message: "doesn't answer" })
    for (const { kind, id, reason, author, date } of this.activeConfiguration.stored.configuration
      .drains)
      problems.push({
        subject: `${kind} ${id}`,
        message: `drained since ${date} by ${author}: ${reason}`,
      })
    return problems
  }

  explain(ref: AdapterRef, rank: Rank): readonly RouteCandidate[] {
    const now = this.coordination.now()
    const adapter = formatAdapter(ref)
    const request = {
      id: "explain",
      adapter,
      rank,
      arrivedAt: now,
      deadline: now + this.activeConfiguration.getPolicy({ rank }).targetMs[rank],
      prefix: 0,
      maxTokens: 1,
    }
    const views = this.coordination.views.list()
    const ranked = rankEndpoints(views, request, this.settings.dataCentre, now)
    const getPosition = ({ info }: EndpointView) => {
      const position = ranked.indexOf(info.id)
      return position < 0 ? ranked.length : position
    }
    return [...views]
      .sort((a, b) => getPosition(a) - getPosition(b))
      .map((view) => this.describeCandidate(view, getPosition(view), ranked.length, adapter))
  }

  private listPeers(): readonly InstanceStatus[] {
    const { peers, documents, views } = this.coordination
    return peers.list().map((row): InstanceStatus => {
      const id = row.instance ?? row.address
      const owned = views.list().filter((view) => view.owner === row.incarnation).length
      const dataCentre = row.dataCentre ?? documents.findMember(row.incarnation ?? "")?.dataCentre
      const state = this.getPeerState(id, row.isLeaving, peers.isSilent(row))
      return dataCentre === undefined ? { id, state, owned } : { id, dataCentre, state, owned }
    })
  }

  private getPeerState(id: InstanceId, isLeaving: boolean, isSilent: boolean): ServingState {
    if (isSilent) return "unreachable"
    return isLeaving || this.activeConfiguration.isDrained("instance", id) ? "draining" : "serving"
  }

  private describeEndpoint(info: EndpointInfo, view: EndpointView | undefined): EndpointStatus {
    const { id, kind, dataCentre, slots } = info
    if (!view) {
      const isLive = this.coordination.views.getPhase(id) === "live"
      const state = isLive ? "unknown" : "draining"
      return { id, kind, dataCentre, state, running: 0, waiting: 0, resident: 0, slots }
    }
    const owner = view.owner === undefined ? undefined : this.getInstanceId(view.owner)
    return {
      id,
      kind,
      dataCentre,
      state: getEndpointState(view),
      ...(owner === undefined ? {} : { owner }),
      running: view.running,
      waiting: RANKS.reduce((sum, rank) => sum + view.queued[rank], 0),
      resident: view.resident.size,
      slots,
    }
  }

  private getInstanceId(incarnation: Incarnation): InstanceId {
    return this.coordination.documents.findMember(incarnation)?.instance ?? incarnation
  }

  private listViewProblems(view: EndpointView): readonly Problem[] {
    const subject = `endpoint ${view.info.id}`
    if (view.owner === undefined) return [{ subject, message: "has no owner" }]
    const owner = this.getInstanceId(view.owner)
    if (!view.isReachable) return [{ subject, message: `it or its owner ${owner} doesn't answer` }]
    const suspects = this.coordination.owned.get(view.info.id)?.suspects.size ?? 0
    if (suspects === 0) return []
    const message = `${suspects} adapters may still be evicted by an old order and aren't granted`
    return [{ subject, message }]
  }

  private describeCandidate(
    view: EndpointView,
    position: number,
    rankedCount: number,
    adapter: AdapterKey,
  ): RouteCandidate {
    const verdict = position >= rankedCount ? "excluded" : position === 0 ? "preferred" : "possible"
    const { id: endpoint, dataCentre } = view.info
    return { endpoint, dataCentre, verdict, reason: this.describeReason(view, adapter) }
  }

  private describeReason(view: EndpointView, adapter: AdapterKey): string {
    if (view.phase !== "live") return `it is ${view.phase}`
    if (!view.isReachable) return "it or its owner doesn't answer"
    const load = `${view.running} of ${view.info.capacity} running`
    const owner = `owner ${this.getInstanceId(view.owner ?? "")}`
    if (view.resident.has(adapter)) return `holds the adapter, ${load}, ${owner}`
    if (view.loading.has(adapter)) return `is loading the adapter, ${load}, ${owner}`
    return `would load the adapter, ${load}, ${owner}`
  }
}

function getEndpointState(view: EndpointView): ServingState {
  if (view.phase !== "live") return "draining"
  return view.isReachable ? "serving" : "unreachable"
}
