import type { Registration, StoreItem } from "@galenaway/core"
import type { AttemptGuard, CatalogueFormat } from "@galenaway/entry"
import { createLog } from "@galenaway/observe"

/** A log that discards all lines. */
export const log = createLog(
  "error",
  { instance: "i", dataCentre: "dc" },
  { write: () => undefined },
)

/** A catalogue format whose items are the decoded types as JSON. */
export const format: CatalogueFormat = {
  operatorPrefix: "op/",
  registrationPrefix: "list/",
  readOperatorItem: ({ value }) => {
    const data = JSON.parse(value.toString()) as Record<string, unknown>
    if (typeof data.adapter === "string")
      return { kind: "adapter-version", adapter: data.adapter, version: Number(data.version) }
    if (typeof data.version !== "number") return { kind: "foreign", reason: "no version" }
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    const configuration = { version: data.version, routes: [], services: new Map(), limits }
    return { kind: "configuration", configuration }
  },
  readRegistration: ({ value }) => {
    const registration = JSON.parse(value.toString()) as Registration
    return typeof registration.id === "string"
      ? { kind: "registration", registration }
      : { kind: "foreign", reason: "no id" }
  },
}

const IGNORING_ATTEMPT_GUARD: AttemptGuard = {
  onProgress: () => undefined,
  onComplete: () => undefined,
  onBroken: () => undefined,
  onEnd: () => undefined,
}

/** A guard that holds nothing back. */
export const OPEN_GUARD = {
  check: () => ({ kind: "allowed" }),
  start: () => IGNORING_ATTEMPT_GUARD,
}

/** Builds a stored item. */
export function buildItem(key: string, value: unknown, revision: number): StoreItem {
  return { key, value: Buffer.from(JSON.stringify(value)), revision }
}

/** Builds the stored item of an endpoint's registration. */
export function buildEntry(id: string, revision: number, changes: Partial<Registration> = {}) {
  const base = { id, service: "s", address: "127.0.0.1:1", dataCentre: "dc", slots: 1 }
  return buildItem(`list/${id}`, { ...base, phase: "live", ...changes }, revision)
}

/** The registration of an engine. */
export const ENGINE: Registration = {
  id: "e",
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "dc",
  slots: 8,
  phase: "live",
}
