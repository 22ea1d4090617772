import type { Configuration, FleetSettings, ExceptionMatch, SettingsPatch } from "./schema.js"

/** What settings are asked for: a request, an endpoint, or parts of them. */
export type SettingsQuery = ExceptionMatch

/** Match fields from the weakest to the strongest; an exception with a stronger field goes first. */
export const MATCH_FIELDS = ["rank", "dataCentre", "base", "adapter", "endpoint"] as const

/** What decides a setting. */
export type SettingSource =
  | { readonly kind: "default" }
  | { readonly kind: "exception"; readonly match: ExceptionMatch; readonly reason: string }

/** One setting's value and what decides it. */
export interface SettingDecision {
  readonly path: string
  readonly value: number
  readonly source: SettingSource
}

/** The settings for a subject, with a decision for each. */
export interface ResolvedSettings {
  readonly settings: FleetSettings
  readonly decisions: readonly SettingDecision[]
}

/** Resolves the settings for a subject. Of two exceptions that match, the more specific one decides. */
export function resolveSettings(
  configuration: Configuration,
  subject: SettingsQuery = {},
): ResolvedSettings {
  const matching = configuration.exceptions
    .filter((exception) => isMatch(exception.match, subject))
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

/** Tells whether all given fields of a match equal those of a subject. */
export function isMatch(match: ExceptionMatch, subject: SettingsQuery): boolean {
  return MATCH_FIELDS.every(
    (field) => match[field] === undefined || match[field] === subject[field],
  )
}

/** Formats a match as `field=value` pairs. */
export function formatMatch(match: ExceptionMatch): string {
  const pairs = MATCH_FIELDS.filter((field) => match[field] !== undefined)
  return pairs.map((field) => `${field}=${match[field] ?? ""}`).join(" ")
}

/** Puts some settings over others. */
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

/** Lists the settings that are given, as path and value. */
export function listSettings(settings: SettingsPatch): [path: string, value: number][] {
  return Object.entries(settings).flatMap(([group, value]) => {
    if (typeof value === "number") return [[group, value] as [string, number]]
    const leaves: [string, number][] = Object.entries(value)
    return leaves.map(([name, leaf]): [string, number] => [`${group}.${name}`, leaf])
  })
}

/** The strongest field decides, then the next one, so any two different matches of a subject have an order. */
function computeSpecificity(match: ExceptionMatch): number {
  return MATCH_FIELDS.reduce(
    (weight, field, index) => (match[field] === undefined ? weight : weight + 2 ** index),
    0,
  )
}
