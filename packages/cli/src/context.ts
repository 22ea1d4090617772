import type { Command } from "commander"
import { OperatorClient } from "./client.js"
import { CommandError } from "./exit.js"
import type { Shell } from "./shell.js"
import { formatJson } from "./table.js"

/** Options of every command. */
export interface GlobalOptions {
  readonly urls?: string
  readonly key?: string
  readonly json?: boolean
}

/** The client, the shell and the output format of one command. */
export interface CommandContext {
  readonly shell: Shell
  readonly client: OperatorClient
  /** Whether results are printed as JSON. */
  readonly isJson: boolean
}

/**
 * Creates a command's context from the global options and the environment. Throws a
 * CommandError if the URLs or the key are missing, or if a URL is invalid.
 */
export function createContext(command: Command, shell: Shell): CommandContext {
  const { urls, key, json = false } = command.optsWithGlobals<GlobalOptions>()
  const urlList = (urls ?? shell.env.GALENAWAY_OPERATOR_URLS ?? "")
    .split(",")
    .map((url) => url.trim().replace(/\/$/, ""))
    .filter((url) => url !== "")
  if (urlList.length === 0)
    throw createUsageError("no operators' URL: give --urls or GALENAWAY_OPERATOR_URLS")
  const invalidUrl = urlList.find((url) => !isHttpUrl(url))
  if (invalidUrl !== undefined)
    throw createUsageError(`operators' URL: got ${invalidUrl}; allowed: http or https URLs`)
  const secret = key ?? shell.env.GALENAWAY_OPERATOR_KEY ?? ""
  if (secret === "") throw createUsageError("no operators' key: set GALENAWAY_OPERATOR_KEY")
  return { shell, client: new OperatorClient(urlList, secret), isJson: json }
}

/** Creates the error for wrong usage of the tool. */
export function createUsageError(message: string): CommandError {
  return new CommandError("refused", message, "bad-request")
}

/** Prints a result: as JSON if `--json` is given, otherwise as the formatted text. */
export function printResult(
  context: CommandContext,
  value: unknown,
  formatText: () => string,
): void {
  context.shell.print(context.isJson ? formatJson(value) : formatText())
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)
}
