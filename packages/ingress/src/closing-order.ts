import type { Millis } from "@galenaway/core"
import { STALL_MS } from "./byte-budget.js"

/** What a caller's connection is used for. */
export type ConnectionPhase =
  /** Nothing of a request has arrived. */
  | "idle"
  /** A part of a head, or empty lines before one, has arrived. */
  | "head"
  /** A body is being read. */
  | "body"
  /** A request is being answered. */
  | "answer"
  /** A request was refused, and the rest of its body isn't used. */
  | "refused"

/** The use of a connection, for the choice of the one that is closed. */
export interface ConnectionView {
  readonly phase: ConnectionPhase
  /** Start of a head; for a body the time of its last progress; otherwise when the connection was opened or last ended a request or an answer. */
  readonly since: Millis
  /** Whether a request has arrived on the connection. */
  readonly isUsed: boolean
}

/** Lower classes are closed first. Undefined if the connection isn't closed for another one. */
function getClosingClass(
  { phase, since, isUsed }: ConnectionView,
  now: Millis,
): number | undefined {
  const isStalled = now - since >= STALL_MS
  switch (phase) {
    case "refused":
      return 0
    case "head":
    case "body":
      return isStalled ? 1 : undefined
    case "idle":
      if (isUsed) return 3
      return isStalled ? 2 : undefined
    case "answer":
      return undefined
  }
}

/**
 * Chooses the connection that is closed so that another one can be opened: first
 * those of refused requests, then those on which a request doesn't progress,
 * then those that were never used, then idle ones, and within a class the longest.
 * Returns undefined if all of them are in use.
 */
export function chooseConnectionToClose<T extends ConnectionView>(
  connections: Iterable<T>,
  now: Millis,
): T | undefined {
  let chosen: T | undefined
  let chosenClass = Infinity
  for (const connection of connections) {
    const closingClass = getClosingClass(connection, now)
    if (closingClass === undefined) continue
    const isLonger = closingClass === chosenClass && connection.since < (chosen?.since ?? Infinity)
    if (closingClass > chosenClass || (closingClass === chosenClass && !isLonger)) continue
    chosen = connection
    chosenClass = closingClass
  }
  return chosen
}
