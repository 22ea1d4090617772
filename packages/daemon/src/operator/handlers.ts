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
import type { Timing } from "../configuration/backoff.js"
import type { StoredConfigurationKeeper } from "../configuration/stored.js"
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

/** What a call is answered with. */
export type OperatorReply =
  | { readonly kind: "json"; readonly status: number; readonly body: unknown }
  | { readonly kind: "text"; readonly text: string }

/** What the operators' interface stands on. */
export interface OperatorHandlerDependencies {
  readonly instance: InstanceId
  readonly dataCentre: DataCentre
  readonly inventory: EndpointInventory
  readonly platform: Pick<PlatformPort, "read">
  readonly timing: Pick<Timing, "pause">
  readonly keeper: StoredConfigurationKeeper
  readonly writer: Pick<ConfigurationWriter, "change" | "edit">
  readonly clock: Pick<Clock, "wallNow">
  readonly status: StatusSource
  readonly explainer: RouteExplainer
  readonly revisions: RevisionSource
  readonly timeline: TimelineSource
  readonly metrics: MetricsSource
}

/** A platform's service that takes longer counts as lost. */
const PLATFORM_ANSWER_MS = 1000
const NAME_TEXT = "a name of 1 to 63 letters, digits, . _ -"
const NAME = z.string(NAME_TEXT).regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, NAME_TEXT)
const REASON_TEXT = "a reason of 1 to 500 characters"
const REASON = z.string(REASON_TEXT).trim().min(1, REASON_TEXT).max(500, REASON_TEXT)
const ORIGIN = { id: NAME, author: NAME, reason: REASON }
const CHANGE = z.strictObject({ ...ORIGIN, configuration: z.unknown() })
const DRAIN = z.strictObject({
  ...ORIGIN,
  kind: z.enum(["endpoint", "instance"], "one of endpoint, instance"),
  target: NAME,
})

/** Answers the calls of the operators' interface. */
export class OperatorHandlers {
  constructor(private readonly deps: OperatorHandlerDependencies) {}

  async getStatus(): Promise<OperatorReply> {
    const { instance, keeper, status } = this.deps
    const lost = await this.findLostPlatform()
    return createJson({
      instance,
      revision: keeper.revision,
      instances: status.listInstances(),
      endpoints: status.listEndpoints(),
      adapters: status.listAdapters(),
      problems: [...lost, ...status.listProblems()],
    } satisfies StatusReply)
  }

  getConfiguration(): OperatorReply {
    const { instance, keeper } = this.deps
    return createJson({ instance, ...keeper.stored } satisfies ConfigurationReply)
  }

  async handleChange(body: unknown): Promise<OperatorReply> {
    const { configuration, ...origin } = parseBody(CHANGE, body)
    const edited = checkConfiguration(configuration, this.deps.inventory)
    if (edited.baseRevision === undefined)
      throw refuse("configuration.revision", undefined, "the revision that was edited")
    return createChangeReply(await this.deps.writer.change(edited, this.stamp(origin)))
  }

  async handleDrain(body: unknown): Promise<OperatorReply> {
    const { kind, target, ...origin } = parseBody(DRAIN, body)
    const known = this.deps.inventory.endpoints.map((each) => each.id)
    if (kind === "endpoint" && !known.includes(target))
      throw refuse("target", target, `an existing endpoint: ${known.join(", ")}`)
    const { at, author, reason } = this.stamp(origin)
    const drain: Drain = { kind, id: target, reason, author, date: at.slice(0, 10) }
    return this.edit(origin, (current) => ({
      ...current,
      drains: [...current.drains.filter((each) => !isDrainOf(each, kind, target)), drain],
    }))
  }

  async handleUndrain(body: unknown): Promise<OperatorReply> {
    const { kind, target, ...origin } = parseBody(DRAIN, body)
    return this.edit(origin, (current) => ({
      ...current,
      drains: current.drains.filter((each) => !isDrainOf(each, kind, target)),
    }))
  }

  async getInForce(text: string): Promise<OperatorReply> {
    const revision = text === "" ? this.deps.keeper.revision : Number(text)
    if (!Number.isSafeInteger(revision) || revision < 0)
      throw refuse("revision", text, "a whole number from 0")
    const instances = await this.deps.revisions.fetchRevisions(revision)
    return createJson({ revision, instances } satisfies InForceReply)
  }

  explain(model: string, rank: string): OperatorReply {
    const { dataCentre, keeper, explainer } = this.deps
    const ref = parseAdapter(model)
    if (!ref) throw refuse("model", model, "base/adapter@version")
    if (!isRank(rank)) throw refuse("rank", rank, "one of urgent, standard, bulk")
    const candidates = explainer.explain(ref, rank)
    const preferred = candidates.find((each) => each.verdict === "preferred")
    const { base, adapter } = ref
    const place = preferred ? { endpoint: preferred.endpoint } : {}
    const subject = {
      base,
      adapter,
      rank,
      dataCentre: preferred?.dataCentre ?? dataCentre,
      ...place,
    }
    const { decisions } = resolveSettings(keeper.stored.configuration, subject)
    const { revision } = keeper
    return createJson({
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
    return createJson({ instance, events: timeline.listEvents() } satisfies EventsReply)
  }

  getMetrics(): OperatorReply {
    return { kind: "text", text: this.deps.metrics.format() }
  }

  /** Asks the platform's service now, as a waiting watch shows an outage only when it ends. */
  private async findLostPlatform(): Promise<Problem[]> {
    const { platform, timing } = this.deps
    const lost = { subject: "platform", message: "doesn't answer, changes can't be made" }
    const abort = new AbortController()
    const found = platform.read(CONFIGURATION_KEY).then(
      () => [],
      () => [lost],
    )
    const limit = timing.pause(PLATFORM_ANSWER_MS, abort.signal).then(() => [lost])
    const problems = await Promise.race([found, limit])
    abort.abort()
    return problems
  }

  private async edit(
    origin: Omit<ChangeOrigin, "at">,
    makeNext: (current: Configuration) => Configuration,
  ): Promise<OperatorReply> {
    // Every instance checks what it reads, so an edit must pass the same checks before it is stored.
    const makeChecked = (current: Configuration) =>
      parseConfiguration(JSON.stringify(makeNext(current))).configuration
    return createChangeReply(await this.deps.writer.edit(makeChecked, this.stamp(origin)))
  }

  private stamp(origin: Omit<ChangeOrigin, "at">): ChangeOrigin {
    return { ...origin, at: new Date(this.deps.clock.wallNow()).toISOString() }
  }
}

const HTTP_OK = 200
const HTTP_CONFLICT = 409

function createJson(body: object, status = HTTP_OK): OperatorReply {
  return { kind: "json", status, body }
}

function createChangeReply(result: ChangeResult): OperatorReply {
  return createJson(result, result.kind === "conflict" ? HTTP_CONFLICT : HTTP_OK)
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

function refuse(path: string, value: unknown, allowed: string): ConfigurationError {
  return new ConfigurationError([createIssue(path, value, allowed)])
}
