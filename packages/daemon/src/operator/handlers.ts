import { z } from "zod"
import {
  type ChangeOrigin,
  checkConfiguration,
  type Configuration,
  CONFIGURATION_KEY,
  ConfigurationError,
  createIssue,
  type Drain,
  type EndpointInventory,
  parseConfiguration,
  resolveSettings,
} from "@galenaway/config"
import {
  type Clock,
  type DataCentre,
  type InstanceId,
  isRank,
  parseAdapter,
  type PlatformPort,
} from "@galenaway/core"
import type { RetryTiming } from "../configuration/backoff.js"
import type { StoredActiveConfiguration } from "../configuration/stored-active-configuration.js"
import type { ChangeResult, ConfigurationWriter } from "../configuration/writer.js"
import type {
  ConfigurationReply,
  EventsReply,
  ExplainReply,
  InForceReply,
  StatusReply,
} from "./api.js"
import type {
  RevisionSource,
  MetricsSource,
  Problem,
  RouteExplainer,
  StatusSource,
  TimelineSource,
} from "./ports.js"

/** Answer to a call of the operators' interface. */
export type OperatorReply =
  | { readonly kind: "json"; readonly status: number; readonly body: unknown }
  | { readonly kind: "text"; readonly text: string }

/** Dependencies of `OperatorHandlers`. */
export interface OperatorHandlerDependencies {
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
  readonly inventory: EndpointInventory
  readonly platform: Pick<PlatformPort, "read">
  readonly timing: Pick<RetryTiming, "pause">
  readonly activeConfiguration: StoredActiveConfiguration
  readonly writer: Pick<ConfigurationWriter, "change" | "edit">
  readonly clock: Pick<Clock, "wallNow">
  readonly status: StatusSource
  readonly explainer: RouteExplainer
  readonly revisions: RevisionSource
  readonly timeline: TimelineSource
  readonly metrics: MetricsSource
}

/** Time after which the platform counts as unreachable. */
const PLATFORM_TIMEOUT_MS = 1000
const NAME_TEXT = "a name of 1 to 63 letters, digits, . _ -"
const NAME_SCHEMA = z.string(NAME_TEXT).regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, NAME_TEXT)
const REASON_TEXT = "a reason of 1 to 500 characters"
const REASON_SCHEMA = z.string(REASON_TEXT).trim().min(1, REASON_TEXT).max(500, REASON_TEXT)
const ORIGIN_SHAPE = { id: NAME_SCHEMA, author: NAME_SCHEMA, reason: REASON_SCHEMA }
const CHANGE_SCHEMA = z.strictObject({ ...ORIGIN_SHAPE, configuration: z.unknown() })
const DRAIN_SCHEMA = z.strictObject({
  ...ORIGIN_SHAPE,
  kind: z.enum(["endpoint", "instance"], "one of endpoint, instance"),
  target: NAME_SCHEMA,
})

/** Handles the calls of the operators' interface. A method throws a ConfigurationError for invalid input. */
export class OperatorHandlers {
  constructor(private readonly deps: OperatorHandlerDependencies) {}

  async getStatus(): Promise<OperatorReply> {
    const { instance, activeConfiguration, status } = this.deps
    const platformProblems = await this.listPlatformProblems()
    return createJsonReply({
      instance,
      revision: activeConfiguration.revision,
      instances: status.listInstances(),
      endpoints: status.listEndpoints(),
      adapters: status.listAdapters(),
      problems: [...platformProblems, ...status.listProblems()],
    } satisfies StatusReply)
  }

  getConfiguration(): OperatorReply {
    const { instance, activeConfiguration } = this.deps
    return createJsonReply({ instance, ...activeConfiguration.stored } satisfies ConfigurationReply)
  }

  async handleChange(body: unknown): Promise<OperatorReply> {
    const { configuration, ...origin } = parseBody(CHANGE_SCHEMA, body)
    const edited = checkConfiguration(configuration, this.deps.inventory)
    if (edited.baseRevision === undefined)
      throw createRefusal("configuration.revision", undefined, "the revision that was edited")
    return createChangeReply(await this.deps.writer.change(edited, this.addTimestamp(origin)))
  }

  async handleDrain(body: unknown): Promise<OperatorReply> {
    const { kind, target, ...origin } = parseBody(DRAIN_SCHEMA, body)
    const known = this.deps.inventory.endpoints.map((each) => each.id)
    if (kind === "endpoint" && !known.includes(target))
      throw createRefusal("target", target, `an existing endpoint: ${known.join(", ")}`)
    const { at, author, reason } = this.addTimestamp(origin)
    const drain: Drain = { kind, id: target, reason, author, date: at.slice(0, 10) }
    return this.edit(origin, (current) => ({
      ...current,
      drains: [...current.drains.filter((each) => !isDrainOf(each, kind, target)), drain],
    }))
  }

  async handleUndrain(body: unknown): Promise<OperatorReply> {
    const { kind, target, ...origin } = parseBody(DRAIN_SCHEMA, body)
    return this.edit(origin, (current) => ({
      ...current,
      drains: current.drains.filter((each) => !isDrainOf(each, kind, target)),
    }))
  }

  async getInForce(text: string): Promise<OperatorReply> {
    const revision = text === "" ? this.deps.activeConfiguration.revision : Number(text)
    if (!Number.isSafeInteger(revision) || revision < 0)
      throw createRefusal("revision", text, "a whole number from 0")
    const instances = await this.deps.revisions.fetchRevisions(revision)
    return createJsonReply({ revision, instances } satisfies InForceReply)
  }

  explain(model: string, rank: string): OperatorReply {
    const { dataCentre, activeConfiguration, explainer } = this.deps
    const ref = parseAdapter(model)
    if (!ref) throw createRefusal("model", model, "base/adapter@version")
    if (!isRank(rank)) throw createRefusal("rank", rank, "one of urgent, standard, bulk")
    const candidates = explainer.explain(ref, rank)
    const preferred = candidates.find((each) => each.verdict === "preferred")
    const { base, adapter } = ref
    const endpoint = preferred ? { endpoint: preferred.endpoint } : {}
    const subject = {
      base,
      adapter,
      rank,
      dataCentre: preferred?.dataCentre ?? dataCentre,
      ...endpoint,
    }
    const { decisions } = resolveSettings(activeConfiguration.stored.configuration, subject)
    const { revision } = activeConfiguration
    return createJsonReply({
      model,
      rank,
      dataCentre,
      revision,
      candidates,
      decisions,
    } satisfies ExplainReply)
  }

  getEvents(): OperatorReply {
    const { instance, timeline } = this.deps
    return createJsonReply({ instance, events: timeline.listEvents() } satisfies EventsReply)
  }

  getMetrics(): OperatorReply {
    return { kind: "text", text: this.deps.metrics.format() }
  }

  /** Checks the platform with a read, because a long-polling watch detects an outage only when its call ends. */
  private async listPlatformProblems(): Promise<Problem[]> {
    const { platform, timing } = this.deps
    const problem = { subject: "platform", message: "doesn't answer, changes can't be made" }
    const abort = new AbortController()
    const result = platform.read(CONFIGURATION_KEY).then(
      () => [],
      () => [problem],
    )
    const timeout = timing.pause(PLATFORM_TIMEOUT_MS, abort.signal).then(() => [problem])
    const problems = await Promise.race([result, timeout])
    abort.abort()
    return problems
  }

  private async edit(
    origin: Omit<ChangeOrigin, "at">,
    createNext: (current: Configuration) => Configuration,
  ): Promise<OperatorReply> {
    // Every instance validates the configuration that it reads, so an edit must pass the same checks before it is stored.
    const createCheckedNext = (current: Configuration) =>
      parseConfiguration(JSON.stringify(createNext(current))).configuration
    return createChangeReply(
      await this.deps.writer.edit(createCheckedNext, this.addTimestamp(origin)),
    )
  }

  private addTimestamp(origin: Omit<ChangeOrigin, "at">): ChangeOrigin {
    return { ...origin, at: new Date(this.deps.clock.wallNow()).toISOString() }
  }
}

const HTTP_OK = 200
const HTTP_CONFLICT = 409

function createJsonReply(body: object, status = HTTP_OK): OperatorReply {
  return { kind: "json", status, body }
}

function createChangeReply(result: ChangeResult): OperatorReply {
  return createJsonReply(result, result.kind === "conflict" ? HTTP_CONFLICT : HTTP_OK)
}

function isDrainOf(drain: Drain, kind: Drain["kind"], id: string): boolean {
  return drain.kind === kind && drain.id === id
}

function parseBody<T extends z.ZodType>(schema: T, body: unknown): z.infer<T> {
  const result = schema.safeParse(body)
  if (result.success) return result.data
  throw new ConfigurationError(
    result.error.issues.map((issue) => {
      const path = issue.path.map(String).join(".")
      const value = (body as Record<string, unknown> | null)?.[path]
      return createIssue(path, value, issue.message)
    }),
  )
}

function createRefusal(path: string, value: unknown, allowed: string): ConfigurationError {
  return new ConfigurationError([createIssue(path, value, allowed)])
}
