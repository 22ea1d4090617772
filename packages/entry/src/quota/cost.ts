import type { AccountQuota, RequestMetadata } from "@galenaway/core"

/** Computes how many units of a quota a request counts as. */
export function computeCost(
  { unit, plainTokens }: AccountQuota,
  { promptTokens, outputTokens }: Pick<RequestMetadata, "promptTokens" | "outputTokens">,
): number {
  switch (unit) {
    case "requests":
      return 1
    case "tokens":
      // A request that states no tokens has neither number.
      return promptTokens + outputTokens > 0 ? promptTokens + outputTokens : plainTokens
  }
}
