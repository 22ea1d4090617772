import type { DependencyContainer } from "tsyringe"
import type { Millis } from "@galenaway/core"
import { computeGuardLimits, IngressGuard } from "@galenaway/ingress"
import { OperatorCatalogue } from "../catalogue/index.js"
import { Ownership } from "../fleet/index.js"
import { InstanceMonitor, SlowInstances } from "../load/index.js"
import { PeerLinks, LinkServer } from "../links/index.js"
import { hasEnded, PartGuard, PartStore } from "../quarantine/index.js"
import { RequestLog } from "../request-log.js"
import type { EntrySettings } from "../settings.js"
import { ENTRY_TOKENS } from "../tokens.js"

const MICROS_PER_MS = 1000

/** Creates the guard of the callers' interface. */
export function createIngressGuard(c: DependencyContainer): IngressGuard {
  const { memoryMb, maxFds } = c.resolve(ENTRY_TOKENS.settings)
  const metrics = c.resolve(ENTRY_TOKENS.metrics)
  const log = c.resolve(RequestLog)
  return new IngressGuard(computeGuardLimits({ memoryMb, maxDescriptors: maxFds }), {
    onClose: (reason) => {
      metrics.count("caller-closes")
      log.write({ reason }, "caller connection closed")
    },
    onRefusedBody: (reason) => {
      metrics.count("body-refusals")
      log.write({ reason }, "body not read")
    },
    onCutAnswer: () => {
      metrics.count("unread-answers")
      log.write({}, "answer cut that its caller does not read")
    },
    onTick: (connections, heldBytes) => {
      metrics.setGauge("caller-connections", connections)
      metrics.setGauge("held-bytes", heldBytes)
    },
  })
}

/** Creates the monitor of this instance's own delay; undefined if the settings don't state its processor. */
export function createInstanceMonitor(
  c: DependencyContainer,
  { cores, cpuShare }: EntrySettings,
): InstanceMonitor | undefined {
  if (cores === 0) return undefined
  const { id, dataCentre } = c.resolve(ENTRY_TOKENS.self)
  return new InstanceMonitor({
    self: id,
    slowInstances: c.resolve(SlowInstances),
    clock: c.resolve(ENTRY_TOKENS.clock),
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    cores: cores * cpuShare,
    readProcessorMs,
    listMembers: () =>
      [...c.resolve(Ownership).instances.values()]
        .filter((instance) => instance.dataCentre === dataCentre && !instance.isStopping)
        .map((instance) => instance.id),
    findShortestObjective: () => c.resolve(OperatorCatalogue).routes?.shortestObjectiveMs,
    notifyPeers: () => {
      c.resolve(PeerLinks).sendSlowness()
    },
  })
}

function readProcessorMs(): Millis {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROS_PER_MS
}

/** Creates the guard that keeps prompt parts which end engines away from them. */
export function createPartGuard(c: DependencyContainer): PartGuard {
  return new PartGuard({
    clock: c.resolve(ENTRY_TOKENS.clock),
    log: c.resolve(ENTRY_TOKENS.log),
    metrics: c.resolve(ENTRY_TOKENS.metrics),
    hasEnded,
    sendReport: (report) => {
      c.resolve(PeerLinks).sendReport(report)
    },
    publish: (states) => {
      c.resolve(LinkServer).publishParts(states)
    },
    store: (state) => {
      c.resolve(PartStore).write(state)
    },
    isTester: () => c.resolve(PeerLinks).isFirstCollector(),
  })
}
