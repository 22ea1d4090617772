import { z } from "zod"
import { GalenawayError, describeError } from "@galenaway/core"
import type { OwnershipDocument } from "./document.js"

const name = z.string().min(1)
const epoch = z.int().nonnegative()

const member = z.strictObject({
  incarnation: name,
  instance: name,
  dataCentre: name,
  peerAddress: name,
  phase: z.enum(["live", "leaving", "suspect"]),
})

const predecessor = z.strictObject({ owner: name, epoch, witnesses: z.array(name) })

const ownership = z.strictObject({
  endpoint: name,
  owner: name,
  epoch,
  witnesses: z.array(name),
  predecessors: z.array(predecessor),
})

const document = z.strictObject({
  dataCentre: name,
  epoch,
  author: z.string(),
  members: z.array(member),
  ownerships: z.array(ownership),
})

/** Formats a document as the text that is stored in the platform's service. */
export function formatDocument(value: OwnershipDocument): string {
  return JSON.stringify(value)
}

/**
 * Parses the text of a stored document. Throws a GalenawayError if the text
 * isn't a valid document.
 */
export function parseDocument(text: string): OwnershipDocument {
  try {
    return document.parse(JSON.parse(text))
  } catch (cause) {
    const message = `the ownership document is malformed: ${describeError(cause)}`
    throw new GalenawayError("internal", "platform", "ownership document", "not-run", message, {
      cause,
    })
  }
}
