import { z } from "zod"
import { ConfigurationError, createIssue } from "./errors.js"
import { type ConfigurationDifference, diffConfigurations } from "./diff.js"
import { checkConfiguration, type EditedConfiguration } from "./parse.js"
import { type Configuration, DEFAULT_CONFIGURATION } from "./schema.js"

/** The key of the configuration in the platform's service. */
export const CONFIGURATION_KEY = "galenaway/configuration"
/** The most changes that the history keeps. */
export const HISTORY_LIMIT = 50
/** The largest history, in bytes, besides its newest change; older changes are dropped to stay below it. */
export const HISTORY_LIMIT_BYTES = 64 * 1024
/** The differences that one change keeps, in bytes. With the largest configuration the value stays below the platform's limit. */
export const DIFFERENCES_LIMIT_BYTES = 32 * 1024

/** What the history keeps of a change. */
export interface ChangeRecord {
  readonly revision: number
  /** The change's own id, by which its author recognises it after a lost reply. */
  readonly id: string
  readonly author: string
  readonly reason: string
  /** When it was made, as ISO 8601 text, by the clock of the instance that took it. */
  readonly at: string
  readonly differences: readonly ConfigurationDifference[]
  /** How many differences were left out to stay below {@link DIFFERENCES_LIMIT_BYTES}. */
  readonly omitted: number
}

/** The value under {@link CONFIGURATION_KEY}. Its revision grows by one with each change. */
export interface StoredConfiguration {
  readonly revision: number
  readonly configuration: Configuration
  /** The last changes, newest first. */
  readonly history: readonly ChangeRecord[]
}

/** What holds before the first change. */
export const INITIAL_STORED_CONFIGURATION: StoredConfiguration = {
  revision: 0,
  configuration: DEFAULT_CONFIGURATION,
  history: [],
}

/** Who makes a change, and why. */
export type ChangeOrigin = Pick<ChangeRecord, "id" | "author" | "reason" | "at">

/** What becomes of a change on the current value. */
export type ChangePlan =
  | { readonly kind: "write"; readonly next: StoredConfiguration }
  /** It took effect before: its id stands in the history. */
  | { readonly kind: "done"; readonly record: ChangeRecord }
  /** The edited configuration equals the current one. */
  | { readonly kind: "unchanged" }
  /** Another revision was edited than the current one; `winners` are the changes since. */
  | { readonly kind: "conflict"; readonly winners: readonly ChangeRecord[] }

/** Plans a change of the current value. It is the same on every try, so a lost reply can be followed by another try. */
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

/** Finds a change by its id. */
export function findChange(stored: StoredConfiguration, id: string): ChangeRecord | undefined {
  return stored.history.find((record) => record.id === id)
}

/** Lists the kept changes above a revision, newest first. */
export function listChangesSince(
  stored: StoredConfiguration,
  revision: number,
): readonly ChangeRecord[] {
  return stored.history.filter((record) => record.revision > revision)
}

/** Formats the value for the platform's service. */
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

/** Parses the platform's value. Throws a ConfigurationError for one that is malformed or contradicts itself. */
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
  return new ConfigurationError([createIssue(path, text, `a value written by galenaway`)])
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

/** The newest change always stays, as its author recognises it there. */
function limitHistory([newest, ...older]: readonly ChangeRecord[]): ChangeRecord[] {
  if (!newest) return []
  return [newest, ...selectWithinBytes(older.slice(0, HISTORY_LIMIT - 1), HISTORY_LIMIT_BYTES)]
}

/** Takes items from the start while their JSON is within a number of bytes. */
function selectWithinBytes<T>(items: readonly T[], limitBytes: number): T[] {
  const taken: T[] = []
  let bytes = 0
  for (const item of items) {
    bytes += Buffer.byteLength(JSON.stringify(item))
    if (bytes > limitBytes) break
    taken.push(item)
  }
  return taken
}
