import type { QuarantineReply, ReleaseReply, ReleaseRequest } from "@galenaway/entry"
import { type CommandContext, printResult } from "../context.js"
import { formatTable } from "../table.js"
import { type ChangeOptions, getAuthor, getReason } from "./apply.js"

const MS_PER_S = 1000

/** Prints the prompt parts that entry instances hold back, and those that they suspect. */
export async function runQuarantineList(context: CommandContext): Promise<void> {
  const reply = await context.client.read<QuarantineReply>("/v1/quarantine")
  printResult(context, reply, () => formatQuarantine(reply))
}

/** Releases a prompt part on all entry instances. */
export async function runQuarantineRelease(
  context: CommandContext,
  part: string,
  options: ChangeOptions,
): Promise<void> {
  const { shell, client } = context
  const reason = await getReason(shell, options, `Reason to release ${part}: `)
  const author = getAuthor(shell, options)
  const request: ReleaseRequest = { id: shell.createId(), part, author, reason }
  const { body } = await client.send<ReleaseReply>("/v1/quarantine/release", request)
  printResult(context, body, () =>
    body.isReleased ? `${part} is released\n` : `${part} is not in quarantine\n`,
  )
}

function formatQuarantine({ parts, suspects }: QuarantineReply): string {
  const rows = parts.map(({ part, endCount, generation, heldMs, trialInMs }) => [
    part,
    endCount,
    generation,
    formatSeconds(heldMs),
    formatSeconds(trialInMs),
  ])
  const columns = ["PART", "ENGINES ENDED", "GENERATION", "HELD FOR", "TRIAL IN"]
  return [
    formatTable("In quarantine", columns, rows),
    formatTable(
      "Suspected",
      ["PART"],
      suspects.map((part) => [part]),
    ),
  ].join("\n")
}

function formatSeconds(ms: number): string {
  return `${Math.round(ms / MS_PER_S)} s`
}
