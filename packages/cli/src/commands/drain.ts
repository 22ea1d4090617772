import type { DrainRequest } from "@galenaway/daemon"
import { type CommandContext, createUsageError } from "../context.js"
import { type ChangeOptions, getAuthor, getReason, parseWait } from "./apply.js"
import { sendChange } from "./change.js"

/**
 * Drains an endpoint or instance, or removes its drain, and waits until that is in
 * force. Throws a CommandError if `kind` is neither `endpoint` nor `instance`.
 */
export async function runDrain(
  context: CommandContext,
  action: "drain" | "undrain",
  kind: string,
  target: string,
  options: ChangeOptions,
): Promise<void> {
  if (kind !== "endpoint" && kind !== "instance")
    throw createUsageError(`kind: got ${kind}; allowed: endpoint, instance`)
  const waitSeconds = parseWait(options.wait)
  const { shell } = context
  const reason = await getReason(shell, options, `Reason to ${action} ${kind} ${target}: `)
  const author = getAuthor(shell, options)
  const body: DrainRequest = { id: shell.createId(), author, reason, kind, target }
  await sendChange(context, `/v1/${action}`, body, waitSeconds)
}
