import { readFileSync } from "node:fs"
import { Command, Option } from "commander"
import { z } from "zod"

const NAME = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "a name of letters, digits, . _ -")
const ADDRESS = z.string().regex(/^[^:\s]+:\d{1,5}$/, "host:port")
const MS = z.coerce.number().int().min(1)
const SECONDS = z.coerce.number().min(1)
const SHARE = z.coerce.number().min(0).max(10)

const SETTINGS = z.object({
  id: NAME,
  dataCentre: NAME,
  listen: ADDRESS,
  readyListen: ADDRESS,
  peerListen: ADDRESS,
  metricsListen: ADDRESS,
  store: ADDRESS,
  seeds: z.array(ADDRESS),
  leaseMs: MS,
  versionLimitMs: MS,
  stopLimitS: SECONDS,
  retryShare: SHARE,
  retryWindowS: SECONDS,
  retryFixed: z.coerce.number().min(0),
  logLevel: z.enum(["debug", "info", "warn", "error"]),
})

/** The checked settings of an entry instance. Addresses are `host:port`. */
export interface EntrySettings {
  readonly id: string
  readonly dataCentre: string
  /** Callers' interface. */
  readonly listen: string
  /** Where the balancer asks whether the instance is ready. */
  readonly readyListen: string
  /** Interface between instances. */
  readonly peerListen: string
  readonly metricsListen: string
  readonly store: string
  /** Peer interfaces to ask while the store is away. */
  readonly seeds: readonly string[]
  /** Two instances don't order one engine within this time. */
  readonly leaseMs: number
  /** A request begins on no version of an adapter for which a newer one was named longer ago. */
  readonly versionLimitMs: number
  /** The process is killed so long after it was told to stop. */
  readonly stopLimitS: number
  /** Share of a service's requests that the fleet may send again. */
  readonly retryShare: number
  readonly retryWindowS: number
  /** Sends that the fleet may repeat in a window beside the share. */
  readonly retryFixed: number
  readonly logLevel: "debug" | "info" | "warn" | "error"
}

/** A setting that was refused: its name, the value, and what is allowed. */
export class EntrySettingsError extends Error {
  override readonly name = "EntrySettingsError"
}

interface Flag {
  readonly flag: string
  readonly text: string
  readonly fallback?: string
}

const FLAGS: Readonly<Record<keyof EntrySettings, Flag>> = {
  id: { flag: "--id <name>", text: "the instance's name" },
  dataCentre: { flag: "--data-centre <name>", text: "the data centre it stands in" },
  listen: { flag: "--listen <host:port>", text: "callers' interface" },
  readyListen: { flag: "--ready-listen <host:port>", text: "readiness for the balancer" },
  peerListen: { flag: "--peer-listen <host:port>", text: "interface between instances" },
  metricsListen: { flag: "--metrics-listen <host:port>", text: "metrics as text" },
  store: { flag: "--store <host:port>", text: "the platform's store" },
  seeds: { flag: "--seeds <list>", text: "peers, separated by commas", fallback: "" },
  leaseMs: { flag: "--lease-ms <ms>", text: "time without two owners", fallback: "3000" },
  versionLimitMs: {
    flag: "--version-limit-ms <ms>",
    text: "longest use of an older adapter version",
    fallback: "5000",
  },
  stopLimitS: { flag: "--stop-limit-s <s>", text: "longest graceful stop", fallback: "8" },
  retryShare: { flag: "--retry-share <share>", text: "share sent again", fallback: "0.2" },
  retryWindowS: { flag: "--retry-window-s <s>", text: "window of it", fallback: "10" },
  retryFixed: { flag: "--retry-fixed <count>", text: "sends again beside it", fallback: "20" },
  logLevel: { flag: "--log-level <level>", text: "debug, info, warn or error", fallback: "info" },
}

const SETTINGS_FILE_VARIABLE = "GALENAWAY_BOOT"

/** Formats the environment variable of a setting. */
export function formatVariable(name: string): string {
  return `GALENAWAY_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`
}

/**
 * Reads the settings from flags, environment variables and the file that
 * GALENAWAY_BOOT names, whose lines are NAME=VALUE as in the environment.
 * Flags go first, then the environment, then the file. Throws an
 * EntrySettingsError that names each wrong one.
 */
export function readEntrySettings(
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): EntrySettings {
  const path = env[SETTINGS_FILE_VARIABLE]
  const file = path === undefined ? {} : parseSettingsFile(readFileSync(path, "utf8"))
  const raw = parseFlags(argv, { ...file, ...env })
  const result = SETTINGS.safeParse(raw)
  if (result.success) return result.data
  throw new EntrySettingsError(
    result.error.issues.map((issue) => describeIssue(issue, raw)).join("\n"),
  )
}

/** Parses lines of NAME=VALUE; blank lines and comments are left out. */
export function parseSettingsFile(text: string): Record<string, string> {
  const pairs = text.split(/\r?\n/).flatMap((line) => {
    const at = line.indexOf("=")
    return at <= 0 || line.startsWith("#") ? [] : [[line.slice(0, at).trim(), line.slice(at + 1)]]
  })
  return Object.fromEntries(pairs) as Record<string, string>
}

function parseFlags(
  argv: readonly string[],
  variables: Readonly<Record<string, string | undefined>>,
): Record<string, unknown> {
  const command = new Command("galenaway-entry")
    .description("Serves opaque requests on one entry instance.")
    .allowExcessArguments(false)
    .exitOverride()
  for (const [name, { flag, text, fallback }] of Object.entries(FLAGS)) {
    const variable = formatVariable(name)
    const option = new Option(flag, `${text} (env ${variable})`)
    const value = variables[variable] ?? fallback
    if (value !== undefined) option.default(value)
    command.addOption(option)
  }
  command.parse([...argv], { from: "user" })
  const options = command.opts<Record<string, string>>()
  return { ...options, seeds: (options.seeds ?? "").split(",").filter((seed) => seed !== "") }
}

function describeIssue(issue: z.core.$ZodIssue, raw: Record<string, unknown>): string {
  const name = String(issue.path[0])
  const value = raw[name]
  const shown = value === undefined ? "nothing" : JSON.stringify(value)
  return `setting ${name}: got ${shown}; allowed: ${issue.message}`
}
