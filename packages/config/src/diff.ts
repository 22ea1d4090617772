import { formatMatch, listSettings } from "./resolve.js"
import type { Configuration, ConfigurationException, Drain } from "./schema.js"

/** One place where two configurations differ. A side without it has undefined. */
export interface ConfigurationDifference {
  readonly path: string
  readonly before?: string | number
  readonly after?: string | number
}

/** Lists where two configurations differ, ordered by path. */
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

/** Lists the exceptions of the second configuration that the first has not, or has with another set. */
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
    ...listSettings(exception.set).map(([leaf, value]): [string, number] => [
      `${path}.set.${leaf}`,
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
