import type { StatusReply } from "@galenaway/daemon"
import { type CommandContext, printResult } from "../context.js"
import { formatTable } from "../table.js"

const SHOWN_ADAPTER_COUNT = 20

/**
 * Prints the instances, the endpoints with their owners, the adapters with the most
 * requests, and the current problems.
 */
export async function runStatus(context: CommandContext): Promise<void> {
  const status = await context.client.read<StatusReply>("/v1/status")
  printResult(context, status, () => formatStatus(status))
}

function formatStatus(status: StatusReply): string {
  const head = `seen by ${status.instance}, configuration revision ${status.revision}\n\n`
  const instances = status.instances.map((each) => [
    each.id,
    each.dataCentre ?? "-",
    each.state,
    each.owned ?? "-",
  ])
  const endpoints = status.endpoints.map((each) => [
    each.id,
    each.kind,
    each.dataCentre,
    each.state,
    each.owner ?? "-",
    each.running,
    each.waiting,
    `${each.resident}/${each.slots}`,
  ])
  const adapters = status.adapters
    .slice(0, SHOWN_ADAPTER_COUNT)
    .map((each) => [each.adapter, each.heat ?? "-", each.endpoints.join(" ")])
  const problems = status.problems.map((each) => [each.subject, each.message])
  const endpointColumns = [
    "ID",
    "KIND",
    "DATA CENTRE",
    "STATE",
    "OWNER",
    "RUNNING",
    "WAITING",
    "SLOTS",
  ]
  return [
    head,
    formatTable("Degraded", ["WHAT", "WHY"], problems),
    formatTable("Instances", ["ID", "DATA CENTRE", "STATE", "OWNED"], instances),
    formatTable("Endpoints", endpointColumns, endpoints),
    formatTable("Adapters", ["ADAPTER", "REQUESTS/MIN", "ENDPOINTS"], adapters),
    formatOmittedCount(status.adapters.length - SHOWN_ADAPTER_COUNT),
  ].join("")
}

function formatOmittedCount(count: number): string {
  return count > 0 ? `  and ${count} more adapters; --json lists them all\n` : ""
}
