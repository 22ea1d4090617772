import { GalenawayError } from "@galenaway/core"

/** One reason why a configuration was refused. */
export interface ConfigurationIssue {
  /** Where it stands, for example `exceptions.0.set.floors.bulk`. */
  readonly path: string
  /** What was found, as JSON. */
  readonly value: string
  /** What is allowed there. */
  readonly allowed: string
}

/** A configuration was refused. Nothing was changed. */
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

/** Creates an issue; a long value is cut. */
export function createIssue(path: string, value: unknown, allowed: string): ConfigurationIssue {
  const text = value === undefined ? "nothing" : JSON.stringify(value)
  const shown = text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}…` : text
  return { path: path === "" ? "(document)" : path, value: shown, allowed }
}
