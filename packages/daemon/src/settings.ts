import { Command, Option } from "commander"
import { z } from "zod"
import type { EndpointInfo } from "@galenaway/core"

const NAME_SCHEMA = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "a name of letters, digits, . _ -")
const ADDRESS_SCHEMA = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, "host:port")
  .transform((text) => {
    const [host = "", port = ""] = text.split(":")
    return { host, port: Number(port) }
  })
const HTTP_URL_SCHEMA = z.url({ protocol: /^https?$/, error: "an http or https URL" })

const ENDPOINT_SCHEMA = z.strictObject({
  id: NAME_SCHEMA,
  kind: z.enum(["engine", "service"]),
  dc: NAME_SCHEMA,
  url: HTTP_URL_SCHEMA,
  fencing: z.enum(["checked", "ignored"]).default("ignored"),
  slots: z.coerce.number().int().min(0).max(1024).default(0),
  capacity: z.coerce.number().int().min(1).max(4096).default(16),
})

const SETTINGS_SCHEMA = z.strictObject({
  id: NAME_SCHEMA,
  dataCentre: NAME_SCHEMA,
  listen: ADDRESS_SCHEMA,
  peerListen: ADDRESS_SCHEMA,
  operatorListen: ADDRESS_SCHEMA,
  platformUrl: HTTP_URL_SCHEMA,
  peers: z.array(ADDRESS_SCHEMA),
  endpoints: z.array(ENDPOINT_SCHEMA).min(1, "at least one endpoint"),
  router: z.enum(["naive", "coordinated"]),
  logLevel: z.enum(["debug", "info", "warn", "error"]),
  operatorKey: z.string().min(8, "at least 8 characters"),
  peerKey: z.string().min(8, "at least 8 characters"),
  drainSeconds: z.coerce.number().min(0).max(3600),
  memoryMb: z.coerce.number().min(64),
  maxFds: z.coerce.number().int().min(232).optional(),
})

/** An address to listen on or connect to. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** The validated settings of the daemon. */
export interface Settings {
  readonly id: string
  readonly dataCentre: string
  /** Address of the callers' interface. */
  readonly listen: Address
  /** Address of the interface between instances. */
  readonly peerListen: Address
  /** Address of the operators' interface. */
  readonly operatorListen: Address
  readonly platformUrl: string
  /** Peers that are contacted at the start, in addition to the members in the ownership documents. */
  readonly peers: readonly Address[]
  readonly endpoints: readonly EndpointInfo[]
  readonly router: "naive" | "coordinated"
  readonly logLevel: "debug" | "info" | "warn" | "error"
  /** Secret of the operators' interface. It is never logged. */
  readonly operatorKey: string
  /** Secret of the interface between instances. It is never logged. */
  readonly peerKey: string
  /** The longest time for which a graceful stop waits for running requests. */
  readonly drainSeconds: number
  /** Memory of the process, in megabytes. It determines how many bytes are held for callers. */
  readonly memoryMb: number
  /** Number of descriptors that the process may open, by default the limit of the system. It determines how many connections callers may open. */
  readonly maxFds?: number | undefined
}

/** One or more invalid settings. The message has a line for each: its name, its value and the accepted values. */
export class SettingsError extends Error {
  override readonly name = "SettingsError"
}

const SECRET_NAMES: readonly string[] = ["operatorKey", "peerKey"]

/**
 * Reads the settings from flags and environment variables; a flag takes
 * precedence. Throws a SettingsError that lists all invalid settings, and a
 * CommanderError for an unknown flag and for `--help`.
 */
export function readSettings(argv: readonly string[], env: NodeJS.ProcessEnv): Settings {
  const raw = readRawSettings(argv, env)
  const result = SETTINGS_SCHEMA.safeParse(raw)
  if (!result.success) throw new SettingsError(describeIssues(result.error, raw))
  const { endpoints, ...rest } = result.data
  return {
    ...rest,
    endpoints: endpoints.map(({ dc, ...endpoint }) => ({ ...endpoint, dataCentre: dc })),
  }
}

function readRawSettings(argv: readonly string[], env: NodeJS.ProcessEnv): Record<string, unknown> {
  const command = new Command("galenawayd")
    .description("Serves callers on one entry instance. Each flag has an environment variable.")
    .allowExcessArguments(false)
  const addOption = (flag: string, variable: string, text: string, fallback?: string) => {
    const option = new Option(flag, text)
    // Option.env() would read process.env instead of the environment that was passed in.
    const value = env[variable] ?? fallback
    if (value !== undefined) option.default(value)
    option.description = `${text} (env ${variable})`
    command.addOption(option)
  }
  addOption("--id <name>", "GALENAWAY_ID", "the instance's name")
  addOption("--data-centre <name>", "GALENAWAY_DATA_CENTRE", "the data centre of the instance")
  addOption("--listen <host:port>", "GALENAWAY_LISTEN", "callers' interface")
  addOption("--peer-listen <host:port>", "GALENAWAY_PEER_LISTEN", "interface between instances")
  addOption("--operator-listen <host:port>", "GALENAWAY_OPERATOR_LISTEN", "operators' interface")
  addOption("--platform-url <url>", "GALENAWAY_PLATFORM_URL", "the platform's key-value service")
  addOption("--peers <list>", "GALENAWAY_PEERS", "peers as host:port, separated by commas", "")
  addOption(
    "--endpoints <list>",
    "GALENAWAY_ENDPOINTS",
    "endpoints as id=e1,kind=engine,dc=a,url=http://10.0.0.7:8000,fencing=checked,slots=8,capacity=16, separated by semicolons",
  )
  addOption("--router <name>", "GALENAWAY_ROUTER", "naive or coordinated", "coordinated")
  addOption("--log-level <level>", "GALENAWAY_LOG_LEVEL", "debug, info, warn or error", "info")
  addOption(
    "--operator-key <secret>",
    "GALENAWAY_OPERATOR_KEY",
    "secret of the operators' interface",
  )
  addOption("--peer-key <secret>", "GALENAWAY_PEER_KEY", "secret between instances")
  addOption("--drain-seconds <seconds>", "GALENAWAY_DRAIN_SECONDS", "longest graceful stop", "30")
  addOption("--memory-mb <mb>", "GALENAWAY_MEMORY_MB", "memory of the process", "1024")
  addOption("--max-fds <count>", "GALENAWAY_MAX_FDS", "descriptors of the process")
  command.exitOverride().parse([...argv], { from: "user" })
  const options = command.opts<Record<string, string | undefined>>()
  return {
    ...options,
    peers: splitList(options.peers, ","),
    endpoints: splitList(options.endpoints, ";").map(parsePairs),
  }
}

function splitList(text: string | undefined, separator: string): string[] {
  return (text ?? "").split(separator).filter((part) => part !== "")
}

function parsePairs(text: string): Record<string, string> {
  return Object.fromEntries(
    splitList(text, ",").map((pair) => {
      const at = pair.indexOf("=")
      return [pair.slice(0, at), pair.slice(at + 1)]
    }),
  )
}

function describeIssues(error: z.ZodError, raw: unknown): string {
  return error.issues.map((issue) => describeIssue(issue, raw)).join("\n")
}

function describeIssue(issue: z.core.$ZodIssue, raw: unknown): string {
  const path = issue.path.map(String)
  let value = raw
  for (const part of path) value = (value as Record<string, unknown> | undefined)?.[part]
  const formatted = SECRET_NAMES.includes(path[0] ?? "") ? "(secret)" : formatValue(value)
  return `setting ${path.join(".")}: got ${formatted}; allowed: ${issue.message}`
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value)
}
