import {
  type ChangeRecord,
  ConfigurationError,
  type ConfigurationDifference,
  diffConfigurations,
  type EditedConfiguration,
  parseConfiguration,
} from "@galenaway/config"
import { describeError } from "@galenaway/core"
import type { ConfigurationReply } from "@galenaway/daemon"
import { createInputError } from "../client.js"
import { type CommandContext, createUsageError, printResult } from "../context.js"
import type { Shell } from "../shell.js"
import { formatJson, formatTable } from "../table.js"

/** Prints the configuration in force, with its revision, as JSON that can be edited and applied. */
export async function runConfigGet(context: CommandContext): Promise<void> {
  const { revision, configuration } = await readConfiguration(context)
  context.shell.print(formatJson({ revision, ...configuration }))
}

/**
 * Prints the differences between the configuration in force and a file. Throws a
 * CommandError if the file is malformed.
 */
export async function runConfigDiff(context: CommandContext, path: string): Promise<void> {
  const edited = parseEditedConfiguration(readTextFile(context.shell, path))
  const current = await readConfiguration(context)
  const differences = diffConfigurations(current.configuration, edited.configuration)
  const value = { revision: current.revision, differences }
  printResult(context, value, () => formatDifferences(differences))
}

/** Prints the last changes, newest first. */
export async function runConfigHistory(context: CommandContext): Promise<void> {
  const { history } = await readConfiguration(context)
  printResult(context, history, () => formatHistory(history))
}

/** Reads the configuration in force from the first instance that answers. */
export function readConfiguration(context: CommandContext): Promise<ConfigurationReply> {
  return context.client.read<ConfigurationReply>("/v1/configuration")
}

/** Parses an edited configuration. Throws a CommandError with a line for each issue. */
export function parseEditedConfiguration(text: string): EditedConfiguration {
  try {
    return parseConfiguration(text)
  } catch (error) {
    if (error instanceof ConfigurationError) throw createInputError(error.issues)
    throw error
  }
}

/** Reads a text file, or the standard input for `-`. Throws a CommandError if it can't be read. */
export function readTextFile(shell: Shell, path: string): string {
  try {
    return shell.readFile(path)
  } catch (error) {
    throw createUsageError(`file ${path}: ${describeError(error)}`)
  }
}

/**
 * Formats each difference as a line that begins with `+` (added), `-` (removed) or `~`
 * (changed).
 */
export function formatDifferences(differences: readonly ConfigurationDifference[]): string {
  if (differences.length === 0) return "no difference\n"
  return differences.map((each) => `${formatDifference(each)}\n`).join("")
}

/** Formats changes as a table, in the given order. */
export function formatHistory(history: readonly ChangeRecord[]): string {
  const rows = history.map((each) => [
    each.revision,
    each.at,
    each.author,
    each.differences.length + each.omitted,
    each.reason,
  ])
  return formatTable("Changes", ["REVISION", "AT", "AUTHOR", "PLACES", "REASON"], rows)
}

function formatDifference({ path, before, after }: ConfigurationDifference): string {
  if (before === undefined) return `+ ${path}: ${after ?? ""}`
  if (after === undefined) return `- ${path}: ${before}`
  return `~ ${path}: ${before} -> ${after}`
}
