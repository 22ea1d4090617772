import { z } from "zod"
import { type ByRank, RANKS } from "@galenaway/core"

const NAME_ALLOWED_TEXT =
  "a name of 1 to 63 letters, digits, . _ - that starts with a letter or digit"
const REASON_LIMIT_CHARACTERS = 500
const DAY_MS = 86_400_000
/** The maximum number of exceptions in a configuration. */
export const EXCEPTION_LIMIT = 100
/** The maximum number of drains in a configuration. */
export const DRAIN_LIMIT = 1000

const NAME_SCHEMA = z
  .string({ error: NAME_ALLOWED_TEXT })
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, NAME_ALLOWED_TEXT)
const SHARE_SCHEMA = buildNumber("a share from 0 to 1, not a percentage", 0, 1)
const DURATION_MS_SCHEMA = buildInteger(
  "whole milliseconds from 10 to 86400000, without a unit",
  10,
  DAY_MS,
)
const COUNT_SCHEMA = buildInteger("a whole number from 1 to 1000000", 1, 1_000_000)
const RATE_SCHEMA = buildNumber("a number a second from 0.01 to 10000", 0.01, 10_000)

const LOADS_SCHEMA = z
  .strictObject({
    ratePerSecond: RATE_SCHEMA.meta({
      description: "Loads that start in a second, over the whole fleet.",
    }),
    burst: COUNT_SCHEMA.meta({ description: "Loads that run at once at full speed." }),
    inTransit: COUNT_SCHEMA.meta({ description: "Loads in transit before each takes longer." }),
    loadMs: DURATION_MS_SCHEMA.meta({ description: "Expected time of a load, in milliseconds." }),
  })
  .partial()

const SETTINGS_SCHEMA = z.strictObject({
  floors: buildByRank(
    SHARE_SCHEMA,
    "The share of capacity that a rank keeps under a flood of any other.",
  ),
  targetMs: buildByRank(
    DURATION_MS_SCHEMA,
    "Time to the first token that is aimed at, in milliseconds.",
  ),
  deadlineMs: buildByRank(
    DURATION_MS_SCHEMA,
    "Time until the first token is due, in milliseconds, for a request that names no deadline.",
  ),
  queueLimit: buildByRank(COUNT_SCHEMA, "Requests of a rank that wait at one owner at most."),
  loads: LOADS_SCHEMA.optional(),
  retryShare: SHARE_SCHEMA.optional().meta({
    description: "Share of requests that may be retried.",
  }),
})

const MATCH_SCHEMA = z.strictObject({
  rank: z.enum(RANKS, `one of ${RANKS.join(", ")}`).optional(),
  dataCentre: NAME_SCHEMA.optional(),
  base: NAME_SCHEMA.optional().meta({ description: "Base model." }),
  adapter: NAME_SCHEMA.optional().meta({ description: "Adapter without its base and version." }),
  endpoint: NAME_SCHEMA.optional(),
})

const REASON_ALLOWED_TEXT = `a reason of 1 to ${REASON_LIMIT_CHARACTERS} characters`
const ORIGIN_FIELDS = {
  reason: z
    .string({ error: REASON_ALLOWED_TEXT })
    .trim()
    .min(1, REASON_ALLOWED_TEXT)
    .max(REASON_LIMIT_CHARACTERS, REASON_ALLOWED_TEXT)
    .meta({ description: "Why it is there." }),
  author: NAME_SCHEMA.meta({ description: "Who added it." }),
  date: z.iso.date("a date as 2026-01-31").meta({ description: "When it was added." }),
}

const EXCEPTION_SCHEMA = z.strictObject({
  match: MATCH_SCHEMA.meta({
    description: "Whom it is for: all fields that are given must be equal.",
  }),
  set: SETTINGS_SCHEMA.meta({ description: "The settings that differ from the defaults." }),
  ...ORIGIN_FIELDS,
})

const DRAIN_SCHEMA = z.strictObject({
  kind: z.enum(["endpoint", "instance"], "one of endpoint, instance"),
  id: NAME_SCHEMA.meta({ description: "The endpoint or instance that takes no new work." }),
  ...ORIGIN_FIELDS,
})

/** The schema of a configuration written by an operator. Every property is optional. */
export const CONFIGURATION_SCHEMA = z.strictObject({
  revision: z
    .int("a whole number from 0")
    .min(0, "a whole number from 0")
    .optional()
    .meta({ description: "The revision that was edited; a change on another one is refused." }),
  defaults: SETTINGS_SCHEMA.default({}).meta({ description: "Settings of the whole fleet." }),
  exceptions: z
    .array(EXCEPTION_SCHEMA)
    .max(EXCEPTION_LIMIT, `at most ${EXCEPTION_LIMIT} exceptions`)
    .default([])
    .meta({ description: "Settings that differ for some work or some endpoints." }),
  drains: z
    .array(DRAIN_SCHEMA)
    .max(DRAIN_LIMIT, `at most ${DRAIN_LIMIT} drains`)
    .default([])
    .meta({ description: "Endpoints and instances that take no new work." }),
})

/** A subset of the settings, as `defaults` and exceptions contain it. */
export type SettingsPatch = z.infer<typeof SETTINGS_SCHEMA>
/** The requests and endpoints to which an exception applies: all given fields must be equal. */
export type ExceptionMatch = z.infer<typeof MATCH_SCHEMA>
/** Settings that differ from the defaults for some requests or endpoints, with a reason. */
export type ConfigurationException = z.infer<typeof EXCEPTION_SCHEMA>
/** An endpoint or instance that receives no new work, with a reason. */
export type Drain = z.infer<typeof DRAIN_SCHEMA>

/** A complete set of settings. Durations are in milliseconds, shares range from 0 to 1. */
export interface FleetSettings {
  readonly floors: ByRank<number>
  readonly targetMs: ByRank<number>
  readonly deadlineMs: ByRank<number>
  readonly queueLimit: ByRank<number>
  readonly loads: {
    readonly ratePerSecond: number
    readonly burst: number
    readonly inTransit: number
    readonly loadMs: number
  }
  readonly retryShare: number
}

/** A checked configuration with complete defaults. */
export interface Configuration {
  readonly defaults: FleetSettings
  readonly exceptions: readonly ConfigurationException[]
  readonly drains: readonly Drain[]
}

/** The configuration that is in force before the first change. */
export const DEFAULT_CONFIGURATION: Configuration = {
  defaults: {
    floors: { urgent: 0.4, standard: 0.2, bulk: 0.1 },
    targetMs: { urgent: 1400, standard: 10_000, bulk: 300_000 },
    deadlineMs: { urgent: 1400, standard: 10_000, bulk: 300_000 },
    queueLimit: { urgent: 512, standard: 1024, bulk: 4096 },
    loads: { ratePerSecond: 7, burst: 3, inTransit: 24, loadMs: 250 },
    retryShare: 0.1,
  },
  exceptions: [],
  drains: [],
}

function buildByRank<T extends z.ZodType>(value: T, description: string) {
  const shape = { urgent: value, standard: value, bulk: value }
  return z.strictObject(shape).partial().optional().meta({ description })
}

function buildNumber(allowed: string, low: number, high: number) {
  return z.number({ error: allowed }).min(low, allowed).max(high, allowed).meta({ allowed })
}

function buildInteger(allowed: string, low: number, high: number) {
  return z.int({ error: allowed }).min(low, allowed).max(high, allowed).meta({ allowed })
}
