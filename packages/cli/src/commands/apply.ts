import { diffConfigurations } from "@galenaway/config"
import { type CommandContext, createUsageError } from "../context.js"
import type { Shell } from "../shell.js"
import { sendChange } from "./change.js"
import {
  formatDifferences,
  parseEditedConfiguration,
  readConfiguration,
  readTextFile,
} from "./config.js"

/** Options of commands that change the configuration. */
export interface ChangeOptions {
  readonly reason?: string
  readonly author?: string
  /** Applies the change without confirmation. */
  readonly yes?: boolean
  /** Seconds to wait until the change is in force, as text that is not yet parsed. */
  readonly wait: string
}

const ISO_DATE_CHARACTER_COUNT = 10
const MAX_WAIT_SECONDS = 3600

/**
 * Applies an edited configuration: checks it, prints the differences, sends it with
 * the revision on which the edit is based, and waits until it is in force. At a
 * terminal, prompts for missing reasons and for confirmation. Throws a CommandError
 * if the change is refused, conflicts with another one, or isn't in force in time.
 */
export async function runConfigApply(
  context: CommandContext,
  path: string,
  options: ChangeOptions,
): Promise<void> {
  const { shell } = context
  const waitSeconds = parseWait(options.wait)
  const author = getAuthor(shell, options)
  const text = await completeEntries(shell, readTextFile(shell, path), author, options.reason)
  const edited = parseEditedConfiguration(text)
  const current = await readConfiguration(context)
  const differences = diffConfigurations(current.configuration, edited.configuration)
  shell.printError(formatDifferences(differences))
  const reason = await getReason(shell, options, "Reason for this change: ")
  if (!(await confirmChange(shell, options)))
    throw createUsageError("not confirmed, nothing was changed")
  const revision = edited.baseRevision ?? current.revision
  const configuration = { revision, ...edited.configuration }
  const body = { id: shell.createId(), author, reason, configuration }
  await sendChange(context, "/v1/configuration", body, waitSeconds)
}

/**
 * Returns the reason from the flag, or prompts for it at a terminal. Throws a
 * CommandError if there is none.
 */
export async function getReason(
  shell: Shell,
  { reason }: Pick<ChangeOptions, "reason">,
  question: string,
): Promise<string> {
  const text = reason ?? (shell.isInteractive ? await shell.prompt(question) : "")
  if (text.trim() === "") throw createUsageError("a change needs a reason: give --reason")
  return text.trim()
}

/**
 * Returns the author of a change: the flag, GALENAWAY_AUTHOR, USER or `operator`, in
 * this order.
 */
export function getAuthor(shell: Shell, { author }: Pick<ChangeOptions, "author">): string {
  return author ?? shell.env.GALENAWAY_AUTHOR ?? shell.env.USER ?? "operator"
}

/**
 * Parses the time to wait in seconds. Throws a CommandError if the text is not a
 * number in the allowed range.
 */
export function parseWait(text: string): number {
  const seconds = Number(text)
  if (text.trim() !== "" && seconds >= 0 && seconds <= MAX_WAIT_SECONDS) return seconds
  throw createUsageError(`--wait: got ${text}; allowed: seconds from 0 to ${MAX_WAIT_SECONDS}`)
}

async function confirmChange(shell: Shell, { yes }: ChangeOptions): Promise<boolean> {
  if (yes === true || !shell.isInteractive) return true
  return /^y(es)?$/i.test(await shell.prompt("Apply this? [y/N] "))
}

/**
 * Adds missing reasons, authors and dates to the exceptions and drains of a document.
 * Malformed documents and entries stay as they are; the checks report them later.
 */
async function completeEntries(
  shell: Shell,
  text: string,
  author: string,
  reason: string | undefined,
): Promise<string> {
  const document = parseObject(text)
  if (!document) return text
  const date = new Date(shell.now()).toISOString().slice(0, ISO_DATE_CHARACTER_COUNT)
  const completedDocument = { ...document }
  for (const list of ["exceptions", "drains"]) {
    const entries = document[list]
    if (!Array.isArray(entries)) continue
    const completed: unknown[] = []
    for (const entry of entries as unknown[]) {
      const object = isObject(entry) ? entry : undefined
      if (!object) completed.push(entry)
      else
        completed.push({
          author,
          date,
          ...object,
          ...(await getEntryReason(shell, list, object, reason)),
        })
    }
    completedDocument[list] = completed
  }
  return JSON.stringify(completedDocument)
}

/**
 * Returns the missing reason of an entry from the flag, or prompts for it at a terminal.
 * Returns an empty object if the entry has a reason, or if there is neither.
 */
async function getEntryReason(
  shell: Shell,
  list: string,
  entry: Record<string, unknown>,
  reason: string | undefined,
): Promise<{ reason?: string }> {
  if (entry.reason !== undefined) return {}
  if (reason !== undefined) return { reason }
  if (!shell.isInteractive) return {}
  const subject = JSON.stringify(list === "drains" ? entry.id : entry.match)
  return { reason: await shell.prompt(`Reason for ${list} ${subject}: `) }
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    return undefined
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value)
}
