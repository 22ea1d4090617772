import { GalenawayError } from "@galenaway/core"

/** A reason for refusing a configuration. */
export interface ConfigurationIssue {
  /** The path in the document, for example `exceptions.0.set.floors.bulk`. */
  readonly path: string
  /** The refused value as JSON, cut if it is long; `nothing` if there is none. */
  readonly value: string
  /** The values allowed at this path. */
  readonly allowed: string
}

/** Thrown when a configuration is refused. Nothing was changed. */
export class ConfigurationError extends GalenawayError {
  override readonly name = "ConfigurationError"
  constructor(readonly issues: readonly ConfigurationIssue[]) {
    const message = issues.map(describeIssue).join("\n")
    super("bad-request", "config", "operator", "not-run", message)
  }
}

/** Describes an issue in one line. */
export function describeIssue({ path, value, allowed }: ConfigurationIssue): string {
  return `${path}: got ${value}; allowed: ${allowed}`
}

const SHOWN_CHARACTERS = 80

/** Creates an issue. A long value is cut. An empty path refers to the whole document. */
export function createIssue(path: string, value: unknown, allowed: string): ConfigurationIssue {
  const text = value === undefined ? "nothing" : JSON.stringify(value)
  const shown = text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}…` : text
  return { path: path === "" ? "(document)" : path, value: shown, allowed }
}
