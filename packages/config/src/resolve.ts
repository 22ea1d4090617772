import type { Configuration, ExceptionMatch, FleetSettings, SettingsPatch } from "./schema.js"

/**
 * The known properties of a request or an endpoint for which settings are resolved.
 * An exception that matches by a missing property doesn't apply.
 */
export type SettingsQuery = ExceptionMatch

/** The match fields in ascending precedence: an exception with a later field overrides one without it. */
export const MATCH_FIELDS = ["rank", "dataCentre", "base", "adapter", "endpoint"] as const

/** The origin of a resolved value: the defaults or an exception. */
export type SettingSource =
  | { readonly kind: "default" }
  | { readonly kind: "exception"; readonly match: ExceptionMatch; readonly reason: string }

/** The resolved value of one setting, and its origin. */
export interface SettingDecision {
  readonly path: string
  readonly value: number
  readonly source: SettingSource
}

/** The resolved settings, with the origin of each. */
export interface ResolvedSettings {
  readonly settings: FleetSettings
  readonly decisions: readonly SettingDecision[]
}

/**
 * Resolves the settings for a request or an endpoint. If several exceptions match
 * and set the same value, the most specific one applies.
 */
export function resolveSettings(
  configuration: Configuration,
  query: SettingsQuery = {},
): ResolvedSettings {
  const matching = configuration.exceptions
    .filter((exception) => isMatch(exception.match, query))
    .sort((a, b) => computeSpecificity(a.match) - computeSpecificity(b.match))
  let settings = configuration.defaults
  const sources = new Map<string, SettingSource>()
  for (const { match, set, reason } of matching) {
    settings = mergeSettings(settings, set)
    for (const [path] of listSettings(set)) sources.set(path, { kind: "exception", match, reason })
  }
  const decisions = listSettings(settings).map(([path, value]) => ({
    path,
    value,
    source: sources.get(path) ?? { kind: "default" as const },
  }))
  return { settings, decisions }
}

/** Returns whether the query has equal values for all fields of a match. */
export function isMatch(match: ExceptionMatch, query: SettingsQuery): boolean {
  return MATCH_FIELDS.every((field) => match[field] === undefined || match[field] === query[field])
}

/**
 * Formats a match as `field=value` pairs, separated by spaces, in the order of
 * {@link MATCH_FIELDS}. Equal matches have equal texts.
 */
export function formatMatch(match: ExceptionMatch): string {
  const pairs = MATCH_FIELDS.filter((field) => match[field] !== undefined)
  return pairs.map((field) => `${field}=${match[field] ?? ""}`).join(" ")
}

/** Returns the base settings, overridden by those that the patch contains. */
export function mergeSettings(base: FleetSettings, patch: SettingsPatch): FleetSettings {
  return {
    floors: { ...base.floors, ...patch.floors },
    targetMs: { ...base.targetMs, ...patch.targetMs },
    deadlineMs: { ...base.deadlineMs, ...patch.deadlineMs },
    queueLimit: { ...base.queueLimit, ...patch.queueLimit },
    loads: { ...base.loads, ...patch.loads },
    retryShare: patch.retryShare ?? base.retryShare,
  }
}

/** Lists the settings of a patch as pairs of path and value, for example `["floors.bulk", 0.1]`. */
export function listSettings(settings: SettingsPatch): [path: string, value: number][] {
  return Object.entries(settings).flatMap(([group, value]) => {
    if (typeof value === "number") return [[group, value] as [string, number]]
    const entries: [string, number][] = Object.entries(value)
    return entries.map(([name, entry]): [string, number] => [`${group}.${name}`, entry])
  })
}

/**
 * Computes the precedence of a match. Each field outweighs all fields before it
 * together, so two different matches that apply to one query never have equal
 * precedence.
 */
function computeSpecificity(match: ExceptionMatch): number {
  return MATCH_FIELDS.reduce(
    (sum, field, index) => (match[field] === undefined ? sum : sum + 2 ** index),
    0,
  )
}
