import { formatMatch, type SettingSource } from "@galenaway/config"
import type { ExplainReply } from "@galenaway/daemon"
import { type CommandContext, printResult } from "../context.js"
import { formatTable } from "../table.js"

/**
 * Prints which endpoints may receive requests for a model, and which default or
 * exception determines each setting.
 */
export async function runExplain(
  context: CommandContext,
  model: string,
  rank: string,
): Promise<void> {
  const query = new URLSearchParams({ model, rank })
  const reply = await context.client.read<ExplainReply>(`/v1/explain?${query.toString()}`)
  printResult(context, reply, () => formatExplanation(reply))
}

function formatExplanation(reply: ExplainReply): string {
  const { model, rank, dataCentre, revision } = reply
  const head = `${model}, ${rank}, received in ${dataCentre}, configuration revision ${revision}\n\n`
  const candidates = reply.candidates.map((each) => [
    each.endpoint,
    each.dataCentre,
    each.verdict,
    each.reason,
  ])
  const settings = reply.decisions.map((each) => [each.path, each.value, formatSource(each.source)])
  return [
    head,
    formatTable("Endpoints", ["ID", "DATA CENTRE", "VERDICT", "WHY"], candidates),
    formatTable("Settings", ["SETTING", "VALUE", "DECIDED BY"], settings),
  ].join("")
}

function formatSource(source: SettingSource): string {
  switch (source.kind) {
    case "default":
      return "default"
    case "exception":
      return `exception ${formatMatch(source.match)}: ${source.reason}`
  }
}
