import type { AdapterVersion, RequestMetadata } from "@galenaway/core"
import type { PartId } from "@galenaway/routing"

/** Parts of a prompt that are considered, the last ones. */
const MAX_PART_COUNT = 64
const MAX_PART_ID_LENGTH = 128
/** The ids of prompt parts have no colon, so callers can't choose one that is an adapter's. */
const ADAPTER_PREFIX = "adapter:"

/** Lists what a request has in common with others, from what most requests share to what few share. `version` is the adapter's newest one. */
export function listRequestParts(
  { adapter, sharedParts }: RequestMetadata,
  version: AdapterVersion | undefined,
): readonly PartId[] {
  const adapters = adapter === undefined ? [] : [`${ADAPTER_PREFIX}${adapter}@${version ?? 0}`]
  const parts = sharedParts.slice(-MAX_PART_COUNT).map(({ id }) => id)
  return [...adapters, ...parts].filter(({ length }) => length <= MAX_PART_ID_LENGTH)
}
