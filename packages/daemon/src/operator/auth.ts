import { createHash, timingSafeEqual } from "node:crypto"
import { RefusedError } from "@galenaway/core"

/** Checks an Authorization header against the operators' key in constant time. Throws a RefusedError. */
export function checkBearer(header: string | undefined, key: string): void {
  const given = /^Bearer (.+)$/.exec(header ?? "")?.[1] ?? ""
  if (timingSafeEqual(hashSecret(given), hashSecret(key))) return
  const message = "the operators' key is missing or wrong"
  throw new RefusedError("unauthorized", "operate", "operator", message)
}

/** Hashes give both sides the same length, which the comparison needs. */
function hashSecret(secret: string): Buffer {
  return createHash("sha256").update(secret).digest()
}
