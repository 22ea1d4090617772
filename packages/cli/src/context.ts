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

/** What a command works with. */
export interface CommandContext {
  readonly shell: Shell
  readonly client: OperatorClient
  readonly isJson: boolean
}

/** Builds a command's context from the global options and the environment. Throws a CommandError for what is missing. */
export function createContext(command: Command, shell: Shell): CommandContext {
  const { urls, key, json = false } = command.optsWithGlobals<GlobalOptions>()
  const list = (urls ?? shell.env.GALENAWAY_OPERATOR_URLS ?? "")
    .split(",")
    .map((url) => url.trim().replace(/\/$/, ""))
    .filter((url) => url !== "")
  if (list.length === 0)
    throw createUsageError("no operators' URL: give --urls or GALENAWAY_OPERATOR_URLS")
  const wrong = list.find((url) => !isHttpUrl(url))
  if (wrong !== undefined)
    throw createUsageError(`operators' URL: got ${wrong}; allowed: http or https URLs`)
  const secret = key ?? shell.env.GALENAWAY_OPERATOR_KEY ?? ""
  if (secret === "") throw createUsageError("no operators' key: set GALENAWAY_OPERATOR_KEY")
  return { shell, client: new OperatorClient(list, secret), isJson: json }
}

/** Creates the error for wrong usage. */
export function createUsageError(message: string): CommandError {
  return new CommandError("refused", message, "bad-request")
}

/** Prints a result as JSON or for people. */
export function printResult(
  context: CommandContext,
  value: unknown,
  formatHuman: () => string,
): void {
  context.shell.print(context.isJson ? formatJson(value) : formatHuman())
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)
}
