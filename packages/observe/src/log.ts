import { type DestinationStream, type Logger, pino, stdTimeFunctions } from "pino"
import { GalenawayError } from "@galenaway/core"
import { formatLogLine, type LogFields } from "./logfmt.js"

/** The levels of log lines, from the least to the most severe. */
export type LogLevel = "debug" | "info" | "warn" | "error"

/** The process that writes a log. Its fields are on each line. */
export interface LogOrigin {
  readonly instance: string
  readonly dataCentre: string
}

/**
 * A logger that writes one line of key=value pairs for each event. Pass
 * `request`, `step` and `peer` as fields. If `err` is a {@link GalenawayError},
 * its step, peer, code and outcome are added to the line.
 */
export type Log = Logger

const STDERR_FILE_DESCRIPTOR = 2

/** Creates a logger that writes to `destination`, by default asynchronously to standard error. */
export function createLog(
  level: LogLevel,
  origin: LogOrigin,
  destination: DestinationStream = pino.destination({ dest: STDERR_FILE_DESCRIPTOR, sync: false }),
): Log {
  const options = {
    level,
    base: { ...origin },
    timestamp: stdTimeFunctions.isoTime,
    formatters: { level: (label: string) => ({ level: label }), log: addErrorFields },
  }
  return pino(options, createLineStream(destination))
}

/** Converts pino's JSON lines in the calling thread, since a worker thread would need far more memory. */
function createLineStream(destination: DestinationStream): DestinationStream {
  return {
    write: (json) => {
      destination.write(`${formatLogLine(JSON.parse(json) as LogFields)}\n`)
    },
  }
}

function addErrorFields(fields: Record<string, unknown>): Record<string, unknown> {
  const { err } = fields
  if (!(err instanceof GalenawayError)) return fields
  const { code, step, peer, outcome } = err
  return { step, peer, code, outcome, ...fields }
}
