import type { Millis } from "@galenaway/core"

/** Estimates until there are measurements. */
const FIRST_TOKENS_PER_MS = 25
const FIRST_EVENT_MS = 40
/** Weight of one prompt in the moving averages, so that they cover about the last fifty prompts. */
const PROMPT_WEIGHT_SHARE = 0.02
/** Size and spread of the prompts that the first estimate stands for. */
const FIRST_PROMPT_TOKENS_COUNT = 500
/** Slopes outside these shares of the ratio of the means are errors of measurement. */
const MIN_SLOPE_SHARE = 0.3
const MAX_SLOPE_SHARE = 1
/** The time between events is the value below which this share of the measurements is, so that pauses for prompts don't count. */
const EVENT_QUANTILE_SHARE = 0.1
/** Step of the quantile estimate, as a share of it. */
const EVENT_STEP_SHARE = 0.05
const MIN_EVENT_MS = 1
const FIRST_RUN_MS = 1000
const RUN_WEIGHT_SHARE = 0.02
/** Share of the allowed pause that a batch of prompts may take: at first, at least and at most. */
const FIRST_BATCH_SHARE = 0.6
const MIN_BATCH_SHARE = 0.25
const MAX_BATCH_SHARE = 0.9
/** Decrease of that share after a pause that was too long, and increase after one that was not. Their ratio is the share of pauses that may be too long. */
const BATCH_DECREASE_SHARE = 0.01
const BATCH_INCREASE_SHARE = 0.000005
/** A longer pause, as a multiple of the allowed one, has another cause than prompts, such as a failed engine. */
const MAX_PROMPT_PAUSE_FACTOR = 2

/**
 * Learns how fast the engines of one service read prompts and produce events,
 * from the answers that an instance passes on. The time until the first token
 * is a fixed part plus the prompt's share, so the speed is the slope of a line
 * through the measurements.
 */
export class PaceEstimator {
  /** Moving averages of the prompts, their times, their variance and their covariance. */
  private meanTokens = FIRST_PROMPT_TOKENS_COUNT
  private meanMs: Millis = FIRST_PROMPT_TOKENS_COUNT / FIRST_TOKENS_PER_MS
  private variance = FIRST_PROMPT_TOKENS_COUNT ** 2
  private covariance = FIRST_PROMPT_TOKENS_COUNT ** 2 / FIRST_TOKENS_PER_MS
  private eventEstimateMs: Millis = FIRST_EVENT_MS
  private batchShare = FIRST_BATCH_SHARE
  private meanRunMs: Millis = FIRST_RUN_MS
  /** Moving average of the pace that the engines of the answers reported, as a multiple of the usual time; undefined without reports. */
  private meanPace: number | undefined

  /** Prompt tokens that an engine reads in a millisecond. */
  get tokensPerMs(): number {
    const meanSlope = this.meanMs / this.meanTokens
    const slope = this.covariance / this.variance
    return 1 / Math.min(MAX_SLOPE_SHARE * meanSlope, Math.max(MIN_SLOPE_SHARE * meanSlope, slope))
  }

  /** The part of the time until the first token that doesn't depend on the prompt. */
  get firstTokenMs(): Millis {
    return Math.max(0, this.meanMs - this.estimatePromptMs(this.meanTokens))
  }

  /** Time between two events of a stream while the engine reads no prompt. */
  get eventMs(): Millis {
    return this.eventEstimateMs
  }

  /** Mean time for which a request uses a place of an engine's batch. */
  get runMs(): Millis {
    return this.meanRunMs
  }

  /** Records the time for which a request has used a place of an engine's batch. */
  recordRun(ms: Millis): void {
    this.meanRunMs += RUN_WEIGHT_SHARE * (ms - this.meanRunMs)
  }

  /** Returns how long an engine may read prompts without a break. It is adapted so that few pauses exceed the allowed one. */
  computeBatchMs(pauseMs: Millis): Millis {
    return this.batchShare * pauseMs
  }

  /** Estimates the time that an engine needs to read a prompt. */
  estimatePromptMs(promptTokens: number): Millis {
    return promptTokens / this.tokensPerMs
  }

  /**
   * Records the prompt tokens that an engine had to read for a request, including those
   * of others, and the time until the first token. `pace` is what the engine reported
   * with it, as a multiple of the usual time.
   */
  recordPrompt(unreadTokens: number, firstTokenMs: Millis, pace?: number): void {
    if (unreadTokens <= 0 || firstTokenMs <= 0) return
    if (pace !== undefined) this.recordPace(pace)
    const tokens = unreadTokens - this.meanTokens
    const ms = firstTokenMs / this.computeSlowdown(pace) - this.meanMs
    const weight = PROMPT_WEIGHT_SHARE
    this.meanTokens += weight * tokens
    this.meanMs += weight * ms
    this.variance = (1 - weight) * (this.variance + weight * tokens ** 2)
    this.covariance = (1 - weight) * (this.covariance + weight * tokens * ms)
  }

  /** Returns how much longer than the estimates work takes on an engine with a pace, 1 without reports. The estimates contain the average pace of the engines. */
  computeSlowdown(pace: number | undefined): number {
    return pace === undefined || this.meanPace === undefined ? 1 : pace / this.meanPace
  }

  /** Records the time between two events of a stream, and the longest pause with which the stream meets its objective, if it has one. */
  recordEvent(ms: Millis, pauseMs: Millis = Infinity): void {
    if (ms <= pauseMs) this.setBatchShare(this.batchShare + BATCH_INCREASE_SHARE)
    else if (ms <= MAX_PROMPT_PAUSE_FACTOR * pauseMs)
      this.setBatchShare(this.batchShare - BATCH_DECREASE_SHARE)
    const share = ms > this.eventEstimateMs ? EVENT_QUANTILE_SHARE : EVENT_QUANTILE_SHARE - 1
    const factor = 1 + EVENT_STEP_SHARE * share
    this.eventEstimateMs = Math.max(MIN_EVENT_MS, this.eventEstimateMs * factor)
  }

  private recordPace(pace: number): void {
    this.meanPace ??= pace
    this.meanPace += PROMPT_WEIGHT_SHARE * (pace - this.meanPace)
  }

  private setBatchShare(share: number): void {
    this.batchShare = Math.min(MAX_BATCH_SHARE, Math.max(MIN_BATCH_SHARE, share))
  }
}
