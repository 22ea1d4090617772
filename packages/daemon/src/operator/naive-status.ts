import { type AdapterRef, type EndpointInfo, formatAdapter, type InstanceId } from "@galenaway/core"
import type { NaiveEngineState } from "@galenaway/policy"
import type { ConfigurationPeers } from "../configuration/peers.js"
import type { StoredActiveConfiguration } from "../configuration/stored-active-configuration.js"
import type { ConfigurationWatcher } from "../configuration/watch.js"
import type { Settings } from "../settings.js"
import type {
  AdapterStatus,
  EndpointStatus,
  InstanceStatus,
  Problem,
  RouteCandidate,
  RouteExplainer,
  ServingState,
  StatusSource,
} from "./ports.js"

/** Status and explanations for the naive router, based on the settings, the engines' reports and the configuration in force. */
export class NaiveStatusSource implements StatusSource, RouteExplainer {
  constructor(
    private readonly settings: Pick<Settings, "id" | "dataCentre" | "endpoints">,
    private readonly rows: ReadonlyMap<string, NaiveEngineState>,
    private readonly activeConfiguration: StoredActiveConfiguration,
    private readonly watch: Pick<ConfigurationWatcher, "isPlatformReachable">,
    private readonly peers: Pick<ConfigurationPeers, "listPeers">,
  ) {}

  listInstances(): readonly InstanceStatus[] {
    const { id, dataCentre } = this.settings
    const peers = this.peers.listPeers()
    return [
      { id, dataCentre, state: this.getInstanceState(id) },
      ...peers.map((peer) => ({ id: peer, state: this.getPeerState(peer) })),
    ]
  }

  listEndpoints(): readonly EndpointStatus[] {
    return this.settings.endpoints.map((info) => {
      const report = this.rows.get(info.id)?.report
      return {
        id: info.id,
        kind: info.kind,
        dataCentre: info.dataCentre,
        state: this.getEndpointState(info),
        running: report?.running ?? 0,
        waiting: report?.waiting ?? 0,
        resident: report?.resident.length ?? 0,
        slots: info.slots,
      }
    })
  }

  listAdapters(): readonly AdapterStatus[] {
    const endpoints = new Map<AdapterStatus["adapter"], string[]>()
    for (const { info, report } of this.rows.values())
      for (const adapter of report?.resident ?? [])
        endpoints.set(adapter, [...(endpoints.get(adapter) ?? []), info.id])
    return [...endpoints]
      .map(([adapter, holders]) => ({ adapter, endpoints: holders }))
      .sort((a, b) => b.endpoints.length - a.endpoints.length)
  }

  listProblems(): readonly Problem[] {
    const { drains } = this.activeConfiguration.stored.configuration
    const problems: Problem[] = drains.map(({ kind, id, reason, author, date }) => ({
      subject: `${kind} ${id}`,
      message: `is drained since ${date} by ${author}: ${reason}`,
    }))
    for (const { info, isReachable } of this.rows.values())
      if (!isReachable) problems.push({ subject: `endpoint ${info.id}`, message: "doesn't answer" })
    if (this.activeConfiguration.revision === 0 && !this.watch.isPlatformReachable)
      problems.push({
        subject: `instance ${this.settings.id}`,
        message: "has no configuration yet, serves under the built-in defaults",
      })
    return problems
  }

  explain(ref: AdapterRef): readonly RouteCandidate[] {
    const adapter = formatAdapter(ref)
    const rows = [...this.rows.values()].sort((a, b) => getLoad(a) - getLoad(b))
    const usable = rows.filter((row) => this.getEndpointState(row.info) === "serving")
    const holders = usable.filter((row) => row.report?.resident.includes(adapter))
    const [best] = holders.length > 0 ? holders : usable
    const ordered = [...new Set([...(best ? [best] : []), ...holders, ...usable, ...rows])]
    return ordered.map((row) => ({
      endpoint: row.info.id,
      dataCentre: row.info.dataCentre,
      verdict: row === best ? "preferred" : usable.includes(row) ? "possible" : "excluded",
      reason: this.describeReason(row, holders),
    }))
  }

  private describeReason(row: NaiveEngineState, holders: readonly NaiveEngineState[]): string {
    const state = this.getEndpointState(row.info)
    if (state !== "serving") return state
    const load = `load ${getLoad(row)} of ${row.info.capacity}`
    return holders.includes(row) ? `holds the adapter, ${load}` : `would load the adapter, ${load}`
  }

  private getEndpointState({ id }: EndpointInfo): ServingState {
    if (this.activeConfiguration.isDrained("endpoint", id)) return "draining"
    return this.rows.get(id)?.isReachable === false ? "unreachable" : "serving"
  }

  private getInstanceState(id: InstanceId): ServingState {
    return this.activeConfiguration.isDrained("instance", id) ? "draining" : "serving"
  }

  /** Returns `unknown` for a peer that isn't drained, because engines' reports contain no state of peers. */
  private getPeerState(id: InstanceId): ServingState {
    return this.activeConfiguration.isDrained("instance", id) ? "draining" : "unknown"
  }
}

function getLoad({ report }: NaiveEngineState): number {
  return (report?.running ?? 0) + (report?.waiting ?? 0)
}
