import type { AdapterName, AdapterVersion, EndpointId, InstanceId } from "@galenaway/core"
import type { AdmitRequest, LoadRequest } from "../generated/fleet.js"
import type { AdmissionOptions, LoadOptions } from "../owner/index.js"

/** Builds the message that asks an engine's owner for admission. */
export function buildAdmitRequest(
  endpoint: EndpointId,
  instance: InstanceId,
  options: AdmissionOptions,
): AdmitRequest {
  return {
    endpoint,
    instance,
    promptTokens: Math.round(options.promptTokens),
    outputTokens: Math.round(options.outputTokens ?? 0),
    account: options.account ?? "",
    priority: Math.max(0, Math.round(options.priority)),
    objectiveInMs: Math.max(0, Math.round(options.objectiveInMs)),
    waitMs: Math.max(0, Math.round(options.waitMs)),
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
    objectiveInMs: Math.round(options.objectiveInMs),
    waitMs: Math.round(options.waitMs),
  }
}
