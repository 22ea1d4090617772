import type { AdapterName, AdapterVersion, EndpointId, InstanceId } from "@galenaway/core"
import type { AdmitRequest, LoadRequest } from "../generated/fleet.js"
import type { AdmissionOptions, LoadOptions } from "../owner/index.js"

const MAX_UINT32 = 2 ** 32 - 1

/** Builds the message that asks an engine's owner for admission. */
export function buildAdmitRequest(
  endpoint: EndpointId,
  instance: InstanceId,
  options: AdmissionOptions,
): AdmitRequest {
  return {
    endpoint,
    instance,
    promptTokens: toUint32(options.promptTokens),
    outputTokens: toUint32(options.outputTokens ?? 0),
    account: options.account ?? "",
    priority: toUint32(options.priority),
    objectiveInMs: toUint32(options.objectiveInMs),
    waitMs: toUint32(options.waitMs),
    isLate: options.isLate,
    id: 0,
    isCancelled: false,
  }
}

/** Builds the message that requests a load from an engine's owner. */
export function buildLoadRequest(
  endpoint: EndpointId,
  adapter: AdapterName,
  version: AdapterVersion | undefined,
  options: LoadOptions,
): LoadRequest {
  return {
    ...options,
    endpoint,
    adapter,
    version: version ?? 0,
    account: options.account ?? "",
    priority: toUint32(options.priority),
    objectiveInMs: toUint32(options.objectiveInMs),
    waitMs: toUint32(options.waitMs),
  }
}

/** Rounds a number to one that a field can hold. Encoding another one ends the stream, and with it the waits of all its requests. */
function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)))
}
