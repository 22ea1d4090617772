import {
  type ChangeOrigin,
  type ChangeRecord,
  type Configuration,
  CONFIGURATION_KEY,
  type EditedConfiguration,
  INITIAL_STORED_CONFIGURATION,
  formatStoredConfiguration,
  parseStoredConfiguration,
  planChange,
  type StoredConfiguration,
} from "@galenaway/config"
import {
  describeError,
  PlatformError,
  type PlatformPort,
  RefusedError,
  UnknownOutcomeError,
  type VersionedValue,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"
import { computeBackoffMs, type RetryTiming } from "./backoff.js"
import type { StoredConfigurationKeeper } from "./stored.js"

/** Failures of the platform's service that one change bears. With the time limit of a call they fit into an operator's patience. */
const MAX_FAILURE_COUNT = 3
/** Tries of one change that others overtake. */
const MAX_ATTEMPT_COUNT = 8

/** What became of a change. */
export type ChangeResult =
  | { readonly kind: "accepted"; readonly record: ChangeRecord }
  | { readonly kind: "unchanged"; readonly revision: number }
  | {
      readonly kind: "conflict"
      readonly revision: number
      readonly winners: readonly ChangeRecord[]
    }

/** What the writer needs. */
export interface ConfigurationWriterDependencies {
  readonly platform: Pick<PlatformPort, "read" | "compareAndSwap">
  readonly keeper: StoredConfigurationKeeper
  readonly timing: RetryTiming
  readonly log: Pick<Log, "info">
}

type CreateEdit = (current: StoredConfiguration) => EditedConfiguration
type AttemptResult = ChangeResult | { readonly kind: "overtaken" }

/** Writes changes of the configuration by compare-and-swap. */
export class ConfigurationWriter {
  constructor(private readonly deps: ConfigurationWriterDependencies) {}

  /**
   * Makes a change. The same change under the same id may be tried again, also
   * through another instance: it takes effect at most once. Throws an
   * UnknownOutcomeError when a write may have left and can't be read back.
   */
  change(edited: EditedConfiguration, origin: ChangeOrigin): Promise<ChangeResult> {
    return this.run(() => edited, origin)
  }

  /** Makes a change on whatever configuration is current, again when another change came first. Otherwise it is as {@link change}. */
  edit(
    makeNext: (current: Configuration) => Configuration,
    origin: ChangeOrigin,
  ): Promise<ChangeResult> {
    const makeEdited = ({ configuration, revision }: StoredConfiguration) => ({
      configuration: makeNext(configuration),
      baseRevision: revision,
    })
    return this.run(makeEdited, origin)
  }

  private async run(makeEdited: CreateEdit, origin: ChangeOrigin): Promise<ChangeResult> {
    const state = { mayHaveWritten: false }
    let failures = 0
    for (let turn = 0; turn < MAX_ATTEMPT_COUNT; turn++) {
      try {
        const result = await this.attempt(makeEdited, origin, state)
        if (result.kind !== "overtaken") return this.logResult(result, origin)
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error
        if (++failures === MAX_FAILURE_COUNT)
          throw createFailure(state.mayHaveWritten, origin.id, describeError(error))
        const ms = computeBackoffMs(failures, this.deps.timing.random())
        await this.deps.timing.pause(ms, new AbortController().signal)
      }
    }
    throw createFailure(state.mayHaveWritten, origin.id, "overtaken by other changes")
  }

  private async attempt(
    makeEdited: CreateEdit,
    origin: ChangeOrigin,
    state: { mayHaveWritten: boolean },
  ): Promise<AttemptResult> {
    const { platform, keeper } = this.deps
    const found = await platform.read(CONFIGURATION_KEY)
    const current = this.getNewer(found)
    if (found) keeper.offer(current.revision, found.value)
    const plan = planChange(current, makeEdited(current), origin)
    switch (plan.kind) {
      case "done":
        return { kind: "accepted", record: plan.record }
      case "unchanged":
        return { kind: "unchanged", revision: current.revision }
      case "conflict":
        return { kind: "conflict", revision: current.revision, winners: plan.winners }
      case "write": {
        const [record] = plan.next.history
        const value = formatStoredConfiguration(plan.next)
        state.mayHaveWritten = true
        const isWritten = await platform.compareAndSwap(
          CONFIGURATION_KEY,
          found?.revision ?? 0,
          value,
        )
        if (!isWritten || !record) return { kind: "overtaken" }
        keeper.offer(plan.next.revision, value)
        return { kind: "accepted", record }
      }
    }
  }

  /** What is in force here replaces a stored value that was lost, damaged or set back from outside. */
  private getNewer(found: VersionedValue | undefined): StoredConfiguration {
    const { stored } = this.deps.keeper
    const read = found ? parseReadable(found.value) : INITIAL_STORED_CONFIGURATION
    if (!read && stored.revision === 0)
      throw new RefusedError("conflict", "config", "platform", "the stored value is not readable")
    return read && read.revision >= stored.revision ? read : stored
  }

  private logResult(result: ChangeResult, { id, author }: ChangeOrigin): ChangeResult {
    this.deps.log.info({ step: "config", change: id, author, result: result.kind }, "change")
    return result
  }
}

function parseReadable(value: string): StoredConfiguration | undefined {
  try {
    return parseStoredConfiguration(value)
  } catch {
    return undefined
  }
}

function createFailure(mayHaveWritten: boolean, id: string, reason: string) {
  if (!mayHaveWritten) return new RefusedError("platform-down", "config", "platform", reason)
  const message = `change ${id} may have taken effect, ask again under its id: ${reason}`
  return new UnknownOutcomeError("platform-down", "config", "platform", message)
}
