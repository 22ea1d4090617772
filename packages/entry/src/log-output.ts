import { type DestinationStream, pino } from "pino"
import type { Millis } from "@galenaway/core"

const STDOUT_FD = 1
const BLOCK_BYTES = 2048
/** Log lines are written after this time at the latest; a killed process loses no more than the lines of it. */
const FLUSH_DELAY_MS: Millis = 250

/**
 * Opens standard output for log lines. Lines are written in blocks, since each
 * write costs a thread switch. Nothing is done while nothing is logged.
 */
export function openLogOutput(): DestinationStream {
  const output = pino.destination({ dest: STDOUT_FD, sync: false, minLength: BLOCK_BYTES })
  process.once("exit", () => {
    output.flushSync()
  })
  return createDelayedOutput(output, FLUSH_DELAY_MS)
}

/** An output that holds lines back until it is flushed. */
export interface BufferedOutput extends DestinationStream {
  flush(): void
}

/** Wraps an output so that it is flushed `delayMs` after the first line since the last flush. */
export function createDelayedOutput(output: BufferedOutput, delayMs: Millis): DestinationStream {
  let timer: NodeJS.Timeout | undefined
  const flush = () => {
    timer = undefined
    output.flush()
  }
  return {
    write: (line) => {
      output.write(line)
      timer ??= setTimeout(flush, delayMs).unref()
    },
  }
}
