import { type ByRank, RANKS } from "@galenaway/core"
import { type ConfigurationIssue, createIssue } from "./errors.js"
import {
  formatMatch,
  listSettings,
  MATCH_FIELDS,
  resolveSettings,
  type SettingsQuery,
} from "./resolve.js"
import type {
  Configuration,
  ConfigurationException,
  FleetSettings,
  ExceptionMatch,
} from "./schema.js"

/** What is known to exist. An exception or a drain for anything else is refused. */
export interface EndpointInventory {
  readonly endpoints: readonly { readonly id: string; readonly dataCentre: string }[]
}

const SUM_DECIMAL_DIGITS = 9

type SettingGroup = keyof FleetSettings

/** The match fields that can change each group of settings. */
export const SETTING_SCOPES: Readonly<Record<SettingGroup, readonly (keyof ExceptionMatch)[]>> = {
  floors: ["dataCentre", "endpoint"],
  queueLimit: ["dataCentre", "endpoint"],
  targetMs: MATCH_FIELDS,
  deadlineMs: MATCH_FIELDS,
  retryShare: MATCH_FIELDS,
  loads: [],
}

/** Finds what contradicts itself in a well-formed configuration. */
export function findContradictions(
  configuration: Configuration,
  inventory?: EndpointInventory,
): ConfigurationIssue[] {
  const { exceptions } = configuration
  return [
    ...checkSettings(configuration.defaults, "defaults"),
    ...exceptions.flatMap((each, index) => checkMatch(each, `exceptions.${index}`, inventory)),
    ...exceptions.flatMap((each, index) => checkScope(each, `exceptions.${index}`)),
    ...checkDuplicates(
      exceptions.map((each) => formatMatch(each.match)),
      "exceptions",
      "one exception for each match; put both sets into one",
    ),
    ...checkDuplicates(
      configuration.drains.map((each) => `${each.kind} ${each.id}`),
      "drains",
      "one drain for each endpoint or instance",
    ),
    ...checkDrains(configuration, inventory),
    ...checkExceptionPairs(configuration),
  ]
}

function checkSettings(settings: FleetSettings, path: string): ConfigurationIssue[] {
  const { floors, targetMs, deadlineMs } = settings
  const issues: ConfigurationIssue[] = []
  const sum = computeFloorSum(floors)
  if (sum > 1)
    issues.push(createIssue(`${path}.floors`, floors, `shares whose sum is at most 1, not ${sum}`))
  for (const [name, values] of Object.entries({ targetMs, deadlineMs }))
    if (values.urgent > values.standard || values.standard > values.bulk)
      issues.push(createIssue(`${path}.${name}`, values, "urgent <= standard <= bulk"))
  for (const rank of RANKS)
    if (targetMs[rank] > deadlineMs[rank])
      issues.push(
        createIssue(`${path}.targetMs.${rank}`, targetMs[rank], `at most deadlineMs.${rank}`),
      )
  return issues
}

/** Rounds away the error of adding binary fractions. */
function computeFloorSum(floors: ByRank<number>): number {
  const sum = RANKS.reduce((total, rank) => total + floors[rank], 0)
  return Number(sum.toFixed(SUM_DECIMAL_DIGITS))
}

function checkMatch(
  { match }: ConfigurationException,
  path: string,
  inventory: EndpointInventory | undefined,
): ConfigurationIssue[] {
  if (formatMatch(match) === "")
    return [createIssue(`${path}.match`, match, `at least one of ${MATCH_FIELDS.join(", ")}`)]
  if (!inventory) return []
  const { endpoint, dataCentre } = match
  const isPossible = inventory.endpoints.some(
    (each) =>
      (endpoint === undefined || each.id === endpoint) &&
      (dataCentre === undefined || each.dataCentre === dataCentre),
  )
  if (isPossible) return []
  const known = inventory.endpoints.map((each) => `${each.id} in ${each.dataCentre}`).join(", ")
  return [createIssue(`${path}.match`, match, `an existing endpoint or data centre: ${known}`)]
}

function checkScope({ match, set }: ConfigurationException, path: string): ConfigurationIssue[] {
  const leaves = listSettings(set)
  if (leaves.length === 0) return [createIssue(`${path}.set`, set, "at least one setting")]
  return leaves.flatMap(([leaf, value]) => {
    const [group, name] = leaf.split(".") as [SettingGroup, string | undefined]
    const scope = SETTING_SCOPES[group]
    const wrong = MATCH_FIELDS.filter((field) => match[field] !== undefined).find(
      (field) => !scope.includes(field),
    )
    if (wrong !== undefined) {
      const allowed =
        scope.length === 0 ? "in defaults only" : `matches by ${scope.join(", ")} only`
      return [
        createIssue(`${path}.set.${leaf}`, value, `${group} is set ${allowed}, not by ${wrong}`),
      ]
    }
    if (match.rank === undefined || name === undefined || name === match.rank) return []
    return [
      createIssue(`${path}.set.${leaf}`, value, `${group}.${match.rank}, as it matches that rank`),
    ]
  })
}

function checkDuplicates(
  keys: readonly string[],
  path: string,
  allowed: string,
): ConfigurationIssue[] {
  return keys.flatMap((key, index) =>
    keys.indexOf(key) === index ? [] : [createIssue(`${path}.${index}`, key, allowed)],
  )
}

function checkDrains(
  { drains }: Configuration,
  inventory: EndpointInventory | undefined,
): ConfigurationIssue[] {
  if (!inventory) return []
  const known = inventory.endpoints.map((each) => each.id)
  return drains.flatMap((drain, index) =>
    drain.kind === "instance" || known.includes(drain.id)
      ? []
      : [createIssue(`drains.${index}.id`, drain.id, `an existing endpoint: ${known.join(", ")}`)],
  )
}

/**
 * Checks the settings where exceptions apply, alone and two at once. Two are
 * enough: each rule compares settings that at most two exceptions decide, or
 * floors, which only two match fields can change.
 */
function checkExceptionPairs(configuration: Configuration): ConfigurationIssue[] {
  const issues = new Map<string, ConfigurationIssue>()
  const { exceptions } = configuration
  exceptions.forEach((first, index) => {
    for (const second of exceptions.slice(index)) {
      const subject = mergeMatches(first.match, second.match)
      if (!subject) continue
      const { settings } = resolveSettings(configuration, subject)
      for (const issue of checkSettings(settings, `settings for ${formatMatch(subject)}`))
        issues.set(issue.path, issue)
    }
  })
  return checkSettings(configuration.defaults, "").length > 0 ? [] : [...issues.values()]
}

function mergeMatches(a: ExceptionMatch, b: ExceptionMatch): SettingsQuery | undefined {
  const isDisjoint = MATCH_FIELDS.some(
    (field) => a[field] !== undefined && b[field] !== undefined && a[field] !== b[field],
  )
  return isDisjoint ? undefined : { ...a, ...b }
}
