import { type DestinationStream, type Logger, pino } from "pino"

/** Levels at which the daemon logs. */
export type LogLevel = "debug" | "info" | "warn" | "error"

/** Where a log line comes from; it stands on each line. */
export interface LogOrigin {
  readonly instance: string
  readonly dataCentre: string
}

/** A logger that writes one line of key=value pairs for each event. */
export type Log = Logger

/** Creates a logger that writes to standard error, or to the stream that a test passes. */
export function createLog(
  level: LogLevel,
  origin: LogOrigin,
  destination?: DestinationStream,
): Log {
  const stream = destination ?? createLogfmtStream()
  return pino({ level, base: { ...origin } }, stream)
}

function createLogfmtStream(): DestinationStream {
  const options = { includeLevelLabel: true, levelLabelKey: "level", destination: 2 }
  return pino.transport({ target: "pino-logfmt", options })
}
