/** The text that replaces a secret in a log line. */
export const REDACTED = "(secret)"

/** Endings of keys whose values are secrets, in lower case and without separators. */
const SECRET_KEY_SUFFIXES: readonly string[] = [
  "apikey",
  "authorization",
  "cookie",
  "credentials",
  "operatorkey",
  "password",
  "peerkey",
  "privatekey",
  "secret",
  "token",
]

const MAX_CACHED_KEY_COUNT = 512
const PLAIN_VALUE = /^[!#-<>-[\]-~]+$/
const KEY_SEPARATORS = /[-_.]/g
const UNSAFE_KEY_CHARACTERS = /[^\w.-]/g
/** Characters that JSON doesn't escape, although some programs treat them as line breaks or control codes. */
const LINE_SEPARATORS = /[\u007f-\u009f\u2028\u2029]/g

/** A value in a log line: any JSON value. */
export type LogValue = string | number | boolean | null | readonly LogValue[] | LogFields

/** The fields of a log line by key. Undefined fields are left out. */
export interface LogFields {
  readonly [key: string]: LogValue | undefined
}

/**
 * Formats fields as one line of key=value pairs. Nested fields get dotted
 * keys. A value with other characters than printable ASCII, or with a space, `=`,
 * `"` or `\`, is quoted and escaped as in JSON, so no value can split a line.
 * Values under secret keys are replaced by {@link REDACTED}.
 */
export function formatLogLine(fields: LogFields): string {
  return appendFields("", "", fields).slice(1)
}

/** Returns whether the value under a key is a secret and must not be logged. */
export function isSecretKey(key: string): boolean {
  const name = key.replace(KEY_SEPARATORS, "").toLowerCase()
  return SECRET_KEY_SUFFIXES.some((ending) => name.endsWith(ending))
}

function appendFields(
  line: string,
  prefix: string,
  fields: LogFields | readonly LogValue[],
): string {
  let next = line
  for (const [name, value] of Object.entries(fields)) {
    const { text, isSecret } = resolveKey(name)
    next = appendField(next, prefix + text, isSecret ? REDACTED : value)
  }
  return next
}

function appendField(line: string, key: string, value: LogValue | undefined): string {
  if (value === undefined) return line
  if (typeof value === "object" && value !== null) return appendFields(line, `${key}.`, value)
  return `${line} ${key}=${formatValue(String(value))}`
}

interface LogKey {
  readonly text: string
  readonly isSecret: boolean
}

/** Caches the result for each key, since a program uses few different keys. */
const cachedKeys = new Map<string, LogKey>()

function resolveKey(name: string): LogKey {
  const cached = cachedKeys.get(name)
  if (cached) return cached
  const key = { text: formatKey(name), isSecret: isSecretKey(name) }
  if (cachedKeys.size < MAX_CACHED_KEY_COUNT) cachedKeys.set(name, key)
  return key
}

function formatKey(name: string): string {
  return name.replace(UNSAFE_KEY_CHARACTERS, "_") || "_"
}

function formatValue(text: string): string {
  return PLAIN_VALUE.test(text)
    ? text
    : JSON.stringify(text).replace(LINE_SEPARATORS, escapeCharacter)
}

function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`
}
