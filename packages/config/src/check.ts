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
  ExceptionMatch,
  FleetSettings,
} from "./schema.js"

/**
 * The known endpoints. Checks refuse exceptions and endpoint drains that refer to
 * any other endpoint or data centre.
 */
export interface EndpointInventory {
  readonly endpoints: readonly { readonly id: string; readonly dataCentre: string }[]
}

const SUM_DECIMAL_DIGITS = 9

type SettingGroup = keyof FleetSettings

/** For each group of settings, the match fields by which an exception may change it. */
export const SETTING_SCOPES: Readonly<Record<SettingGroup, readonly (keyof ExceptionMatch)[]>> = {
  floors: ["dataCentre", "endpoint"],
  queueLimit: ["dataCentre", "endpoint"],
  targetMs: MATCH_FIELDS,
  deadlineMs: MATCH_FIELDS,
  retryShare: MATCH_FIELDS,
  loads: [],
}

/**
 * Finds contradictions in a configuration that is valid by its schema. References
 * to endpoints and data centres are checked only if an inventory is given.
 */
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

/** Rounds the sum, as adding binary fractions gives results such as 0.30000000000000004. */
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
  const settings = listSettings(set)
  if (settings.length === 0) return [createIssue(`${path}.set`, set, "at least one setting")]
  return settings.flatMap(([settingPath, value]) => {
    const [group, name] = settingPath.split(".") as [SettingGroup, string | undefined]
    const scope = SETTING_SCOPES[group]
    const excludedField = MATCH_FIELDS.filter((field) => match[field] !== undefined).find(
      (field) => !scope.includes(field),
    )
    if (excludedField !== undefined) {
      const allowed =
        scope.length === 0 ? "in defaults only" : `matches by ${scope.join(", ")} only`
      return [
        createIssue(
          `${path}.set.${settingPath}`,
          value,
          `${group} is set ${allowed}, not by ${excludedField}`,
        ),
      ]
    }
    if (match.rank === undefined || name === undefined || name === match.rank) return []
    return [
      createIssue(
        `${path}.set.${settingPath}`,
        value,
        `${group}.${match.rank}, as it matches that rank`,
      ),
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
 * Checks the settings that result from each exception and from each pair of
 * exceptions. Pairs are enough: the rules for targets and deadlines compare two
 * values at a time, which come from at most two exceptions, and floors can be changed
 * only by the match fields `dataCentre` and `endpoint`, which two exceptions can
 * determine.
 */
function checkExceptionPairs(configuration: Configuration): ConfigurationIssue[] {
  const issues = new Map<string, ConfigurationIssue>()
  const { exceptions } = configuration
  exceptions.forEach((first, index) => {
    for (const second of exceptions.slice(index)) {
      const query = mergeMatches(first.match, second.match)
      if (!query) continue
      const { settings } = resolveSettings(configuration, query)
      for (const issue of checkSettings(settings, `settings for ${formatMatch(query)}`))
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
