import { readFileSync } from "node:fs"
import { Command, Option } from "commander"
import { z } from "zod"

const NAME_SCHEMA = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "a name of letters, digits, . _ -")
const ADDRESS_SCHEMA = z.string().regex(/^[^:\s]+:\d{1,5}$/, "host:port")
const MS_SCHEMA = z.coerce.number().int().min(1)
const SECONDS_SCHEMA = z.coerce.number().min(1)
const SHARE_SCHEMA = z.coerce.number().min(0).max(10)

const SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA,
  dataCentre: NAME_SCHEMA,
  listen: ADDRESS_SCHEMA,
  readyListen: ADDRESS_SCHEMA,
  peerListen: ADDRESS_SCHEMA,
  metricsListen: ADDRESS_SCHEMA,
  store: ADDRESS_SCHEMA,
  seeds: z.array(ADDRESS_SCHEMA),
  leaseMs: MS_SCHEMA,
  configurationLimitMs: MS_SCHEMA,
  versionLimitMs: MS_SCHEMA,
  drainLimitMs: MS_SCHEMA,
  stopLimitS: SECONDS_SCHEMA,
  retryShare: SHARE_SCHEMA,
  retryWindowS: SECONDS_SCHEMA,
  retryFixed: z.coerce.number().min(0),
  quotaWindowS: SECONDS_SCHEMA,
  quotaExcess: SHARE_SCHEMA,
  quotaSlack: z.coerce.number().min(0),
  cpuShare: z.coerce.number().positive(),
  cores: z.coerce.number().min(0),
  transferMs: z.coerce.number().min(0),
  memoryMb: z.coerce.number().min(64),
  maxFds: z.coerce.number().int().min(232).optional(),
  logLevel: z.enum(["debug", "info", "warn", "error"]),
})

/** The checked settings of an entry instance. Addresses are `host:port`. */
export interface EntrySettings {
  readonly id: string
  readonly dataCentre: string
  /** Interface for callers. */
  readonly listen: string
  /** Interface on which the load balancer checks readiness. */
  readonly readyListen: string
  /** Interface between instances. */
  readonly peerListen: string
  readonly metricsListen: string
  /** The platform's store. */
  readonly store: string
  /** Peer interfaces from which the catalogue is fetched while the store can't be reached. */
  readonly seeds: readonly string[]
  /** Lease of an engine's ownership, in ms. A new owner waits this long before its first order when the previous owner may be running, so that two instances never order one engine at the same time. */
  readonly leaseMs: number
  /** Time in which a configuration must be in force after the store has acknowledged it, in ms. */
  readonly configurationLimitMs: number
  /** How long requests may start on an adapter version after a newer one is in force, in ms. */
  readonly versionLimitMs: number
  /** How long requests may be sent to an endpoint after it has announced that it leaves, in ms. */
  readonly drainLimitMs: number
  /** Time between the stop signal and the kill of the process, in seconds. */
  readonly stopLimitS: number
  /** Retry budget of the fleet, as a share of a service's requests in a window. */
  readonly retryShare: number
  /** Window of the retry budget, in seconds. */
  readonly retryWindowS: number
  /** Retries of the fleet in a window in addition to the share. */
  readonly retryFixed: number
  /** Window in which the use of a quota is limited, in seconds. */
  readonly quotaWindowS: number
  /** By which share of a quota its use in a window may exceed it. */
  readonly quotaExcess: number
  /** By how many tokens the use of a quota in a window may exceed it in addition. */
  readonly quotaSlack: number
  /** Share of its processor that the instance may use. */
  readonly cpuShare: number
  /** Speed of the processor, compared to the usual one. 0 if it isn't known: the instance then doesn't measure its own delay. */
  readonly cores: number
  /** Price of a request's bytes between data centres, as an added wait in ms. 0 if they are free: engines of all data centres are then chosen by their load and distance. */
  readonly transferMs: number
  /** Memory of the process, in megabytes. It determines how many bytes are held for callers. */
  readonly memoryMb: number
  /** Number of descriptors that the process may open, by default the limit of the system. It determines how many connections callers may open. */
  readonly maxFds?: number | undefined
  readonly logLevel: "debug" | "info" | "warn" | "error"
}

/** Invalid settings. The message has one line for each, with its name, its value and the allowed values. */
export class EntrySettingsError extends Error {
  override readonly name = "EntrySettingsError"
}

interface FlagDefinition {
  readonly flag: string
  readonly description: string
  readonly defaultValue?: string
}

const FLAG_DEFINITIONS: Readonly<Record<keyof EntrySettings, FlagDefinition>> = {
  id: { flag: "--id <name>", description: "the instance's name" },
  dataCentre: { flag: "--data-centre <name>", description: "the data centre of the instance" },
  listen: { flag: "--listen <host:port>", description: "interface for callers" },
  readyListen: {
    flag: "--ready-listen <host:port>",
    description: "readiness checks of the load balancer",
  },
  peerListen: { flag: "--peer-listen <host:port>", description: "interface between instances" },
  metricsListen: { flag: "--metrics-listen <host:port>", description: "metrics in text format" },
  store: { flag: "--store <host:port>", description: "the platform's store" },
  seeds: {
    flag: "--seeds <list>",
    description: "peer interfaces, separated by commas",
    defaultValue: "",
  },
  leaseMs: {
    flag: "--lease-ms <ms>",
    description:
      "lease of an engine's ownership; a new owner waits this long before its first order",
    defaultValue: "3000",
  },
  configurationLimitMs: {
    flag: "--configuration-limit-ms <ms>",
    description: "time in which a configuration must be in force",
    defaultValue: "2000",
  },
  versionLimitMs: {
    flag: "--version-limit-ms <ms>",
    description: "how long requests may start on a replaced adapter version",
    defaultValue: "5000",
  },
  drainLimitMs: {
    flag: "--drain-limit-ms <ms>",
    description: "how long requests may be sent to an endpoint that leaves",
    defaultValue: "2000",
  },
  stopLimitS: {
    flag: "--stop-limit-s <s>",
    description: "time limit of a graceful stop",
    defaultValue: "8",
  },
  retryShare: {
    flag: "--retry-share <share>",
    description: "retry budget as a share of the requests",
    defaultValue: "0.2",
  },
  retryWindowS: {
    flag: "--retry-window-s <s>",
    description: "window of the retry budget",
    defaultValue: "10",
  },
  retryFixed: {
    flag: "--retry-fixed <count>",
    description: "retries in a window in addition to the share",
    defaultValue: "20",
  },
  quotaWindowS: {
    flag: "--quota-window-s <s>",
    description: "window in which the use of an account's quota is limited",
    defaultValue: "8",
  },
  quotaExcess: {
    flag: "--quota-excess <share>",
    description: "by how much the use of a quota in a window may exceed it",
    defaultValue: "0.1",
  },
  quotaSlack: {
    flag: "--quota-slack <tokens>",
    description: "tokens by which the use of a quota in a window may exceed it in addition",
    defaultValue: "0",
  },
  cpuShare: {
    flag: "--cpu-share <share>",
    description: "share of its processor that the instance may use",
    defaultValue: "1",
  },
  cores: {
    flag: "--cores <speed>",
    description: "speed of the processor, compared to the usual one; 0 measures no own delay",
    defaultValue: "0",
  },
  transferMs: {
    flag: "--transfer-ms <ms>",
    description: "price of a request's bytes between data centres, as an added wait",
    defaultValue: "0",
  },
  memoryMb: {
    flag: "--memory-mb <mb>",
    description: "memory of the process; bodies and answers held for callers stay within a part",
    defaultValue: "1024",
  },
  maxFds: {
    flag: "--max-fds <count>",
    description: "descriptors of the process; callers may open connections for a part",
  },
  logLevel: {
    flag: "--log-level <level>",
    description: "debug, info, warn or error",
    defaultValue: "info",
  },
}

const SETTINGS_FILE_VARIABLE = "GALENAWAY_BOOT"

/** Returns the name of a setting's environment variable. */
export function formatVariable(name: string): string {
  return `GALENAWAY_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`
}

/**
 * Reads the settings from flags, environment variables and the file whose path
 * is in GALENAWAY_BOOT. Flags take precedence over the environment, and the
 * environment over the file. Throws an EntrySettingsError for invalid values, a
 * CommanderError for unknown flags and for --help, and a file system error when
 * the file can't be read.
 */
export function readEntrySettings(
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): EntrySettings {
  const path = env[SETTINGS_FILE_VARIABLE]
  const file = path === undefined ? {} : parseSettingsFile(readFileSync(path, "utf8"))
  const raw = parseFlags(argv, { ...file, ...env })
  const result = SETTINGS_SCHEMA.safeParse(raw)
  if (result.success) return result.data
  throw new EntrySettingsError(
    result.error.issues.map((issue) => describeIssue(issue, raw)).join("\n"),
  )
}

/** Parses lines of NAME=VALUE. Skips comments, which start with #, and lines without a name or an equals sign. */
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
  for (const [name, { flag, description, defaultValue }] of Object.entries(FLAG_DEFINITIONS)) {
    const variable = formatVariable(name)
    const option = new Option(flag, `${description} (env ${variable})`)
    const value = findValue(variables[variable]) ?? defaultValue
    if (value !== undefined) option.default(value)
    command.addOption(option)
  }
  command.parse([...argv], { from: "user" })
  const options = command.opts<Record<string, string>>()
  return { ...options, seeds: (options.seeds ?? "").split(",").filter((seed) => seed !== "") }
}

/** Returns a variable's value. The platform's templates render one that it doesn't set as an empty text. */
function findValue(text: string | undefined): string | undefined {
  return text === "" ? undefined : text
}

function describeIssue(issue: z.core.$ZodIssue, raw: Record<string, unknown>): string {
  const name = String(issue.path[0])
  const value = raw[name]
  const shown = value === undefined ? "nothing" : JSON.stringify(value)
  return `setting ${name}: got ${shown}; allowed: ${issue.message}`
}
