import { z } from "zod"
import { type EndpointInventory, findContradictions } from "./check.js"
import { ConfigurationError, type ConfigurationIssue, createIssue } from "./errors.js"
import { mergeSettings } from "./resolve.js"
import { type Configuration, CONFIGURATION_SCHEMA, DEFAULT_CONFIGURATION } from "./schema.js"

/** The largest configuration text that is accepted, in bytes of UTF-8. */
export const CONFIGURATION_LIMIT_BYTES = 256 * 1024

/** A configuration edited by an operator. */
export interface EditedConfiguration {
  readonly configuration: Configuration
  /** The revision on which the edit is based; undefined if the text has none. */
  readonly baseRevision: number | undefined
}

/**
 * Parses and checks the text of an edited configuration. Throws a ConfigurationError
 * with an issue for each fault.
 */
export function parseConfiguration(
  text: string,
  inventory?: EndpointInventory,
): EditedConfiguration {
  if (Buffer.byteLength(text) > CONFIGURATION_LIMIT_BYTES)
    throw createDocumentError(
      `${text.length} characters`,
      `at most ${CONFIGURATION_LIMIT_BYTES} bytes`,
    )
  return checkConfiguration(parseJson(text), inventory)
}

/**
 * Checks a configuration that was parsed from JSON, and sets missing values to
 * their built-in defaults. Throws a ConfigurationError with an issue for each fault.
 */
export function checkConfiguration(
  value: unknown,
  inventory?: EndpointInventory,
): EditedConfiguration {
  const result = CONFIGURATION_SCHEMA.safeParse(value)
  if (!result.success)
    throw new ConfigurationError(result.error.issues.flatMap((issue) => listIssues(issue, value)))
  const { revision, defaults, exceptions, drains } = result.data
  const configuration: Configuration = {
    defaults: mergeSettings(DEFAULT_CONFIGURATION.defaults, defaults),
    exceptions,
    drains,
  }
  const contradictions = findContradictions(configuration, inventory)
  if (contradictions.length > 0) throw new ConfigurationError(contradictions)
  return { configuration, baseRevision: revision }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw createDocumentError(text, `JSON (${(error as Error).message})`)
  }
}

function createDocumentError(value: string, allowed: string): ConfigurationError {
  return new ConfigurationError([createIssue("", value, allowed)])
}

function listIssues(issue: z.core.$ZodIssue, document: unknown): ConfigurationIssue[] {
  const path = issue.path.map(String)
  const value = readPath(document, path)
  if (issue.code !== "unrecognized_keys")
    return [createIssue(path.join("."), value, describeAllowed(issue))]
  const allowed = `one of ${listKeys(path).join(", ")}`
  return issue.keys.map((key) =>
    createIssue([...path, key].join("."), readPath(value, [key]), `no such key; ${allowed}`),
  )
}

function describeAllowed(issue: z.core.$ZodIssue): string {
  if (issue.code !== "invalid_type") return issue.message
  return issue.expected === "object" || issue.expected === "array"
    ? `an ${issue.expected}`
    : issue.message
}

function readPath(value: unknown, path: readonly string[]): unknown {
  let current = value
  for (const key of path) {
    if (typeof current !== "object" || current === null) return undefined
    current = (current as Record<string, unknown>)[key]
  }
  return current
}

/** Lists the keys that the schema allows in the object at a path. */
function listKeys(path: readonly string[]): string[] {
  let schema: z.core.JSONSchema.BaseSchema = z.toJSONSchema(CONFIGURATION_SCHEMA, { io: "input" })
  for (const key of path) {
    const next = schema.properties?.[key] ?? schema.items
    if (typeof next !== "object" || Array.isArray(next)) return []
    schema = next
  }
  return Object.keys(schema.properties ?? {})
}
