import { z } from "zod"
import { ConfigurationError, createIssue } from "./errors.js"
import { type Difference, diffConfigurations } from "./diff.js"
import { checkConfiguration, type EditedConfiguration } from "./parse.js"
import { type Configuration, DEFAULT_CONFIGURATION } from "./schema.js"

/** The key of the configuration in the platform's service. */
export const CONFIGURATION_KEY = "galenaway/configuration"
/** The most changes that the history keeps. */
export const HISTORY_LIMIT = 50
/** The largest stored value, in bytes; older changes are dropped from the history to stay below it. */
export const STORED_LIMIT_BYTES = 900 * 1024

/** What the history keeps of a change. */
export interface ChangeRecord {
  readonly revision: number
  /** The change's own id, by which its author recognises it after a lost reply. */
  readonly id: string
  readonly author: string
  readonly reason: string
  /** When it was made, as ISO 8601 text, by the clock of the instance that took it. */
  readonly at: string
  readonly differences: readonly Difference[]
}

/** The value under {@link CONFIGURATION_KEY}. Its revision grows by one with each change. */
export interface StoredConfiguration {
  readonly revision: number
  readonly configuration: Configuration
  /** The last changes, newest first. */
  readonly history: readonly ChangeRecord[]
}

/** What holds before the first change. */
export const EMPTY_CONFIGURATION: StoredConfiguration = {
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
  const record = findChange(current, origin.id)
  if (record) return { kind: "done", record }
  const base = edited.baseRevision ?? current.revision
  if (base !== current.revision)
    return { kind: "conflict", winners: listChangesSince(current, base) }
  const differences = diffConfigurations(current.configuration, edited.configuration)
  if (differences.length === 0) return { kind: "unchanged" }
  const revision = current.revision + 1
  const history = [{ ...origin, revision, differences }, ...current.history]
  return {
    kind: "write",
    next: limitSize({ revision, configuration: edited.configuration, history }),
  }
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
export function formatStored(stored: StoredConfiguration): string {
  return JSON.stringify(stored)
}

const STORED = z.strictObject({
  revision: z.int().min(1),
  configuration: z.unknown(),
  history: z.array(
    z.strictObject({
      revision: z.int(),
      id: z.string(),
      author: z.string(),
      reason: z.string(),
      at: z.string(),
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
export function parseStored(text: string): StoredConfiguration {
  const result = STORED.safeParse(parseJson(text))
  if (!result.success) throw refuseStored(text, result.error.issues[0]?.path.join(".") ?? "value")
  const { revision, configuration, history } = result.data
  return { revision, configuration: checkConfiguration(configuration).configuration, history }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw refuseStored(text, "JSON")
  }
}

function refuseStored(text: string, path: string): ConfigurationError {
  return new ConfigurationError([createIssue(path, text, `a value written by galenaway`)])
}

function limitSize(stored: StoredConfiguration): StoredConfiguration {
  let history = stored.history.slice(0, HISTORY_LIMIT)
  while (history.length > 1 && measureBytes({ ...stored, history }) > STORED_LIMIT_BYTES)
    history = history.slice(0, -1)
  return { ...stored, history }
}

function measureBytes(stored: StoredConfiguration): number {
  return Buffer.byteLength(formatStored(stored))
}
