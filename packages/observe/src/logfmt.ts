/** What stands in a log line in place of a secret. */
export const REDACTED = "(secret)"

/** Keys that end so hold secrets, in lower case and without separators. */
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
/** Characters that JSON leaves as they are and that some readers take for a line break or a control code. */
const LINE_SEPARATORS = /[\u007f-\u009f\u2028\u2029]/g

/** What a log line can carry: anything that JSON can. */
export type LogValue = string | number | boolean | null | readonly LogValue[] | LogFields

/** Fields of a log line by key. */
export interface LogFields {
  readonly [key: string]: LogValue | undefined
}

/**
 * Formats fields as one line of key=value pairs. Nested fields get dotted
 * keys. A value of other than plain characters is quoted and escaped as in
 * JSON, so no value can split a line. Values under secret keys are redacted.
 */
export function formatLogLine(fields: LogFields): string {
  return appendFields("", "", fields).slice(1)
}

/** Tells whether the value under a key is never logged. */
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

/** A program logs under few keys, so that each is judged once. */
const cachedKeys = new Map<string, LogKey>()

function resolveKey(name: string): LogKey {
  const known = cachedKeys.get(name)
  if (known) return known
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
