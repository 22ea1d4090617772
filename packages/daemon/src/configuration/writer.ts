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
import type { StoredActiveConfiguration } from "./stored-active-configuration.js"

/**
 * Failed platform calls before a change is aborted. Keeps the total time
 * acceptable to an operator who waits for the result.
 */
const MAX_FAILURE_COUNT = 3
/** Attempts to write one change, including those that fail or find that another change was written first. */
const MAX_ATTEMPT_COUNT = 8

/** The result of a change. */
export type ChangeResult =
  | { readonly kind: "accepted"; readonly record: ChangeRecord }
  | { readonly kind: "unchanged"; readonly revision: number }
  | {
      readonly kind: "conflict"
      readonly revision: number
      readonly winners: readonly ChangeRecord[]
    }

/** The dependencies of a {@link ConfigurationWriter}. */
export interface ConfigurationWriterDependencies {
  readonly platform: Pick<PlatformPort, "read" | "compareAndSwap">
  readonly activeConfiguration: StoredActiveConfiguration
  readonly timing: RetryTiming
  readonly log: Pick<Log, "info">
}

type CreateEdit = (current: StoredConfiguration) => EditedConfiguration
type AttemptResult = ChangeResult | { readonly kind: "overtaken" }

/** Writes changes of the configuration by compare-and-swap. */
export class ConfigurationWriter {
  constructor(private readonly deps: ConfigurationWriterDependencies) {}

  /**
   * Writes a change that is based on a known revision. A change can be retried
   * under the same id, also through another instance: it takes effect at most
   * once. Throws an UnknownOutcomeError if a write may have been sent and its
   * result can't be read back.
   */
  change(edited: EditedConfiguration, origin: ChangeOrigin): Promise<ChangeResult> {
    return this.run(() => edited, origin)
  }

  /**
   * Applies an edit to the current configuration, and again if another change
   * was written first. Otherwise behaves like {@link change}.
   */
  edit(
    createNext: (current: Configuration) => Configuration,
    origin: ChangeOrigin,
  ): Promise<ChangeResult> {
    const createEdit = ({ configuration, revision }: StoredConfiguration) => ({
      configuration: createNext(configuration),
      baseRevision: revision,
    })
    return this.run(createEdit, origin)
  }

  private async run(createEdit: CreateEdit, origin: ChangeOrigin): Promise<ChangeResult> {
    const state = { mayHaveWritten: false }
    let failures = 0
    for (let attempt = 0; attempt < MAX_ATTEMPT_COUNT; attempt++) {
      try {
        const result = await this.attempt(createEdit, origin, state)
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
    createEdit: CreateEdit,
    origin: ChangeOrigin,
    state: { mayHaveWritten: boolean },
  ): Promise<AttemptResult> {
    const { platform, activeConfiguration } = this.deps
    const found = await platform.read(CONFIGURATION_KEY)
    const current = this.getNewer(found)
    if (found) activeConfiguration.offer(current.revision, found.value)
    const plan = planChange(current, createEdit(current), origin)
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
        activeConfiguration.offer(plan.next.revision, value)
        return { kind: "accepted", record }
      }
    }
  }

  /**
   * Returns the newer of the stored configuration and the one in force here. The
   * one in force replaces a stored value that was lost, damaged or reset
   * externally to an older revision.
   */
  private getNewer(found: VersionedValue | undefined): StoredConfiguration {
    const { stored } = this.deps.activeConfiguration
    const read = found ? parseReadable(found.value) : INITIAL_STORED_CONFIGURATION
    if (!read && stored.revision === 0)
      throw new RefusedError("conflict", "config", "platform", "the stored value is not readable")
    return read && read.revision >= stored.revision ? read : stored
  }

  private logResult(result: ChangeResult, { id, author }: ChangeOrigin): ChangeResult {
    this.deps.log.info(
      { step: "config", change: id, author, result: result.kind },
      "configuration change processed",
    )
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
