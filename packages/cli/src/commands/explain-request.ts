import type {
  DestinationDecision,
  ExplainRequestReply,
  ServiceDestinations,
} from "@galenaway/entry"
import { type CommandContext, printResult } from "../context.js"
import { formatTable } from "../table.js"

const PERCENT = 100
const COLUMNS = [
  "ENDPOINT",
  "DATA CENTRE",
  "VERDICT",
  "SHARE",
  "COST",
  "RUNNING",
  "OWN",
  "OWN WORK",
  "FACTOR",
  "PACE",
  "WAIT",
  "FAILED",
]

/** The options of the command, as the shell gives them. */
export type ExplainRequestOptions = Readonly<Record<string, string>>

/** Prints where a request would go now from one entry instance, and why. Nothing is sent to an endpoint. */
export async function runExplainRequest(
  context: CommandContext,
  path: string,
  options: ExplainRequestOptions,
): Promise<void> {
  const query = buildQuery(path, options)
  const reply = await context.client.read<ExplainRequestReply>(
    `/v1/explain-request?${query.toString()}`,
  )
  printResult(context, reply, () => formatReply(reply))
}

function buildQuery(path: string, options: ExplainRequestOptions): URLSearchParams {
  const [model, adapter] = (options.model ?? "").split("/")
  const fields = {
    host: options.host,
    path,
    model,
    adapter,
    prompt_tokens: options.prompt,
    output_tokens: options.output,
    length_hint: options.hint,
    account: options.account,
  }
  const query = new URLSearchParams()
  for (const [name, value] of Object.entries(fields))
    if (value !== undefined && value !== "") query.set(name, value)
  return query
}

function formatReply(reply: ExplainRequestReply): string {
  switch (reply.kind) {
    case "no-destination":
      return `no destination: ${reply.reason}\n`
    case "explained": {
      const { route, requestKind, objectiveMs, priority, services } = reply
      const head = `route ${route}, ${requestKind}, objective ${String(objectiveMs)} ms, priority ${String(priority)}\n\n`
      return head + services.map(formatService).join("\n")
    }
  }
}

function formatService(destinations: ServiceDestinations): string {
  const { service, share, costMs, isCostLearned, decision, candidates } = destinations
  const source = isCostLearned ? "learned" : "mean of the service"
  const title = `${service}, ${formatPercent(share)} of the route: ${describeDecision(decision)}; cost ${formatMs(costMs)} (${source})`
  const rows = [...candidates]
    .sort((a, b) => b.share - a.share || a.costMs - b.costMs)
    .map((each) => [
      each.endpoint,
      each.dataCentre,
      each.verdict,
      formatPercent(each.share),
      formatMs(each.costMs),
      `${String(each.running)} of ${String(each.slots)}`,
      each.ownRunning,
      formatMs(each.ownWorkMs),
      each.timeFactor.toFixed(2),
      formatPace(each.pacePercent, each.paceAgeMs),
      formatMs(Math.max(each.queueWaitMs, each.backlogMs)),
      formatPercent(each.failureRate),
    ])
  return formatTable(title, COLUMNS, rows)
}

function describeDecision(decision: DestinationDecision): string {
  switch (decision) {
    case "lowest-load":
      return "the endpoint with the lowest load"
    case "expected-completion":
      return "drawn by the expected completion"
    case "send":
      return "the cheapest engine that can serve it"
    case "load-adapter":
      return "the adapter is loaded first"
    case "none":
      return "no endpoint can be used"
  }
}

function formatPace(percent: number | undefined, ageMs: number | undefined): string {
  return percent === undefined ? "-" : `${percent.toFixed(0)}%, ${formatMs(ageMs ?? 0)} ago`
}

function formatMs(ms: number): string {
  return `${ms.toFixed(0)} ms`
}

function formatPercent(share: number): string {
  return `${(PERCENT * share).toFixed(0)}%`
}
