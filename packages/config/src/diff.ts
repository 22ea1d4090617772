import { formatMatch, listSettings } from "./resolve.js"
import type { Configuration, ConfigurationException, Drain } from "./schema.js"

/**
 * A path at which two configurations differ. `before` or `after` is undefined if
 * that configuration has no value there.
 */
export interface ConfigurationDifference {
  readonly path: string
  readonly before?: string | number
  readonly after?: string | number
}

/** Lists the differences between two configurations, ordered by path. */
export function diffConfigurations(
  before: Configuration,
  after: Configuration,
): ConfigurationDifference[] {
  const old = flattenConfiguration(before)
  const next = flattenConfiguration(after)
  const paths = [...new Set([...old.keys(), ...next.keys()])].sort()
  return paths.flatMap((path) => {
    const [a, b] = [old.get(path), next.get(path)]
    if (a === b) return []
    return [
      { path, ...(a === undefined ? {} : { before: a }), ...(b === undefined ? {} : { after: b }) },
    ]
  })
}

/**
 * Lists the exceptions of `after` that `before` doesn't have, or has with other
 * settings. Reason, author and date are ignored.
 */
export function listNewExceptions(
  before: Configuration,
  after: Configuration,
): ConfigurationException[] {
  const old = new Map(before.exceptions.map((each) => [formatMatch(each.match), each]))
  return after.exceptions.filter((each) => {
    const previous = old.get(formatMatch(each.match))
    return !previous || formatExceptionSettings(previous) !== formatExceptionSettings(each)
  })
}

function formatExceptionSettings({ set }: ConfigurationException): string {
  return JSON.stringify(listSettings(set).sort())
}

function flattenConfiguration(configuration: Configuration): Map<string, string | number> {
  const entries: [string, string | number][] = [
    ...listSettings(configuration.defaults).map(([path, value]): [string, number] => [
      `defaults.${path}`,
      value,
    ]),
    ...configuration.exceptions.flatMap(flattenException),
    ...configuration.drains.flatMap(flattenDrain),
  ]
  return new Map(entries)
}

function flattenException(exception: ConfigurationException): [string, string | number][] {
  const path = `exceptions[${formatMatch(exception.match)}]`
  return [
    ...listSettings(exception.set).map(([settingPath, value]): [string, number] => [
      `${path}.set.${settingPath}`,
      value,
    ]),
    ...flattenOrigin(path, exception),
  ]
}

function flattenDrain(drain: Drain): [string, string][] {
  return flattenOrigin(`drains[${drain.kind} ${drain.id}]`, drain)
}

function flattenOrigin(
  path: string,
  origin: { readonly reason: string; readonly author: string; readonly date: string },
): [string, string][] {
  return [
    [`${path}.reason`, origin.reason],
    [`${path}.author`, origin.author],
    [`${path}.date`, origin.date],
  ]
}
