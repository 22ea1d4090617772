import { z } from "zod"
import { ConfigurationError, createIssue } from "./errors.js"
import { type ConfigurationDifference, diffConfigurations } from "./diff.js"
import { checkConfiguration, type EditedConfiguration } from "./parse.js"
import { type Configuration, DEFAULT_CONFIGURATION } from "./schema.js"

/** The key of the configuration in the platform's service. */
export const CONFIGURATION_KEY = "galenaway/configuration"
/** The maximum number of changes in the history. */
export const HISTORY_LIMIT = 50
/**
 * The maximum size of the history without its newest change, in bytes of JSON. The
 * oldest changes are removed first.
 */
export const HISTORY_LIMIT_BYTES = 64 * 1024
/**
 * The maximum size of the differences in one change, in bytes of JSON. It keeps the
 * value below the platform's limit even with the largest configuration.
 */
export const DIFFERENCES_LIMIT_BYTES = 32 * 1024

/** One change in the history. */
export interface ChangeRecord {
  readonly revision: number
  /** The unique id of the change, by which its author finds it after a lost reply. */
  readonly id: string
  readonly author: string
  readonly reason: string
  /** The time of the change as ISO 8601 text, by the clock of the instance that accepted it. */
  readonly at: string
  readonly differences: readonly ConfigurationDifference[]
  /** The number of differences left out because of {@link DIFFERENCES_LIMIT_BYTES}. */
  readonly omitted: number
}

/** The value stored under {@link CONFIGURATION_KEY}. Each change increases `revision` by one. */
export interface StoredConfiguration {
  readonly revision: number
  readonly configuration: Configuration
  /** The latest changes, newest first. */
  readonly history: readonly ChangeRecord[]
}

/** The stored configuration before the first change. */
export const INITIAL_STORED_CONFIGURATION: StoredConfiguration = {
  revision: 0,
  configuration: DEFAULT_CONFIGURATION,
  history: [],
}

/** The id, author, reason and time of a change. */
export type ChangeOrigin = Pick<ChangeRecord, "id" | "author" | "reason" | "at">

/** The outcome of a change on the current value. */
export type ChangePlan =
  | { readonly kind: "write"; readonly next: StoredConfiguration }
  /** The change is already in the history. */
  | { readonly kind: "done"; readonly record: ChangeRecord }
  /** The edited configuration equals the current one. */
  | { readonly kind: "unchanged" }
  /**
   * The edit is based on another revision than the current one; `winners` are the
   * changes since its base, newest first.
   */
  | { readonly kind: "conflict"; readonly winners: readonly ChangeRecord[] }

/**
 * Plans a change of the current value. It is idempotent by `origin.id`, so a change
 * can be retried after a lost reply.
 */
export function planChange(
  current: StoredConfiguration,
  edited: EditedConfiguration,
  origin: ChangeOrigin,
): ChangePlan {
  const earlier = findChange(current, origin.id)
  if (earlier) return { kind: "done", record: earlier }
  const base = edited.baseRevision ?? current.revision
  if (base !== current.revision)
    return { kind: "conflict", winners: listChangesSince(current, base) }
  const differences = diffConfigurations(current.configuration, edited.configuration)
  if (differences.length === 0) return { kind: "unchanged" }
  const revision = current.revision + 1
  const record = createChangeRecord(revision, origin, differences)
  const history = limitHistory([record, ...current.history])
  return { kind: "write", next: { revision, configuration: edited.configuration, history } }
}

/** Finds a change by its id. Returns undefined if the history doesn't have it. */
export function findChange(stored: StoredConfiguration, id: string): ChangeRecord | undefined {
  return stored.history.find((record) => record.id === id)
}

/** Lists the changes in the history after a revision, newest first. */
export function listChangesSince(
  stored: StoredConfiguration,
  revision: number,
): readonly ChangeRecord[] {
  return stored.history.filter((record) => record.revision > revision)
}

/** Formats the value that is stored in the platform's service. */
export function formatStoredConfiguration(stored: StoredConfiguration): string {
  return JSON.stringify(stored)
}

const STORED_CONFIGURATION_SCHEMA = z.strictObject({
  revision: z.int().min(1),
  configuration: z.unknown(),
  history: z.array(
    z.strictObject({
      revision: z.int(),
      id: z.string(),
      author: z.string(),
      reason: z.string(),
      at: z.string(),
      omitted: z.int(),
      differences: z.array(
        z.strictObject({
          path: z.string(),
          before: z.union([z.string(), z.number()]).optional(),
          after: z.union([z.string(), z.number()]).optional(),
        }),
      ),
    }),
  ),
})

/**
 * Parses the stored value. Throws a ConfigurationError if it is malformed or its
 * configuration is invalid.
 */
export function parseStoredConfiguration(text: string): StoredConfiguration {
  const result = STORED_CONFIGURATION_SCHEMA.safeParse(parseJson(text))
  if (!result.success)
    throw createStoredError(text, result.error.issues[0]?.path.join(".") ?? "value")
  const { revision, configuration, history } = result.data
  return { revision, configuration: checkConfiguration(configuration).configuration, history }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw createStoredError(text, "JSON")
  }
}

function createStoredError(text: string, path: string): ConfigurationError {
  return new ConfigurationError([createIssue(path, text, "a value written by galenaway")])
}

function createChangeRecord(
  revision: number,
  origin: ChangeOrigin,
  differences: readonly ConfigurationDifference[],
): ChangeRecord {
  const { id, author, reason, at } = origin
  const kept = selectWithinBytes(differences, DIFFERENCES_LIMIT_BYTES)
  const omitted = differences.length - kept.length
  return { revision, id, author, reason, at, differences: kept, omitted }
}

/** Always keeps the newest change, as its author searches for it after a lost reply. */
function limitHistory([newest, ...older]: readonly ChangeRecord[]): ChangeRecord[] {
  if (!newest) return []
  return [newest, ...selectWithinBytes(older.slice(0, HISTORY_LIMIT - 1), HISTORY_LIMIT_BYTES)]
}

/** Returns the longest prefix of the items whose JSON fits into a number of bytes. */
function selectWithinBytes<T>(items: readonly T[], limitBytes: number): T[] {
  const selected: T[] = []
  let bytes = 0
  for (const item of items) {
    bytes += Buffer.byteLength(JSON.stringify(item))
    if (bytes > limitBytes) break
    selected.push(item)
  }
  return selected
}
