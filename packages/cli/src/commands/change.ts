import type { ChangeResult, InForceReply } from "@galenaway/daemon"
import { type CommandContext, printResult } from "../context.js"
import { CommandError } from "../exit.js"
import { formatHistory } from "./config.js"

const POLL_INTERVAL_MS = 250
const MS_PER_SECOND = 1000

/**
 * Sends a change, waits until it is in force on every live instance, and prints the
 * result. Throws a CommandError on a conflict, and if the change isn't in force
 * everywhere after `waitSeconds`.
 */
export async function sendChange(
  context: CommandContext,
  path: string,
  body: { readonly id: string },
  waitSeconds: number,
): Promise<void> {
  const { body: result } = await context.client.post(path, body)
  switch (result.kind) {
    case "conflict":
      throw createConflictError(result.revision, formatHistory(result.winners))
    case "unchanged": {
      const message = `nothing to change, revision ${result.revision} says so already`
      return reportInForce(context, result, result.revision, message, waitSeconds)
    }
    case "accepted": {
      const { revision } = result.record
      return reportInForce(context, result, revision, `revision ${revision} accepted`, waitSeconds)
    }
  }
}

async function reportInForce(
  context: CommandContext,
  result: ChangeResult,
  revision: number,
  message: string,
  waitSeconds: number,
): Promise<void> {
  const inForce = await waitUntilInForce(context, revision, waitSeconds)
  const laggingInstances = inForce.instances.filter((each) => each.state !== "in-force")
  const count = inForce.instances.length
  const line = `${message}, in force on ${count - laggingInstances.length} of ${count} instances\n`
  printResult(context, { ...result, inForce }, () => line)
  if (laggingInstances.length === 0) return
  const names = laggingInstances.map((each) => `${each.instance} (${each.state})`).join(", ")
  throw new CommandError("lagging", `not in force after ${waitSeconds} s on: ${names}`)
}

async function waitUntilInForce(
  context: CommandContext,
  revision: number,
  waitSeconds: number,
): Promise<InForceReply> {
  const { shell } = context
  const end = shell.now() + waitSeconds * MS_PER_SECOND
  let reply = await readInForceReply(context, revision)
  while (!isInForceEverywhere(reply) && shell.now() < end) {
    const inForceCount = reply.instances.filter((each) => each.state === "in-force").length
    if (shell.canShowProgress)
      shell.printError(
        `\rrevision ${revision}: in force on ${inForceCount} of ${reply.instances.length}`,
      )
    await shell.pause(POLL_INTERVAL_MS)
    reply = await readInForceReply(context, revision)
  }
  if (shell.canShowProgress) shell.printError("\r\u001b[K")
  return reply
}

/**
 * Reads on which instances a revision is in force. If no instance answers, returns
 * all of them as unreachable, because the change itself is already accepted.
 */
async function readInForceReply(
  { client }: CommandContext,
  revision: number,
): Promise<InForceReply> {
  try {
    return await client.read<InForceReply>(`/v1/configuration/in-force?revision=${revision}`)
  } catch {
    const instances = [{ instance: "every instance", state: "unreachable" as const }]
    return { revision, instances }
  }
}

function isInForceEverywhere(reply: InForceReply): boolean {
  return reply.instances.every((each) => each.state === "in-force")
}

function createConflictError(revision: number, winningChanges: string): CommandError {
  const advice =
    "Nothing was changed. Get the new configuration with `galenaway config get`, repeat your edit and apply it."
  const message = `another change came first; the revision is now ${revision}\n${winningChanges}${advice}`
  return new CommandError("conflict", message, "conflict", "config")
}
