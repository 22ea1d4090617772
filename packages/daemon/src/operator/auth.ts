import { createHash, timingSafeEqual } from "node:crypto"
import { RefusedError } from "@galenaway/core"

/** Compares an Authorization header with the operators' key in constant time. Throws a RefusedError when they differ. */
export function checkBearer(header: string | undefined, key: string): void {
  const given = /^Bearer (.+)$/.exec(header ?? "")?.[1] ?? ""
  if (timingSafeEqual(hashSecret(given), hashSecret(key))) return
  const message = "the operators' key is missing or wrong"
  throw new RefusedError("unauthorized", "operate", "operator", message)
}

/** Hashes a secret, because the comparison requires values of equal length. */
function hashSecret(secret: string): Buffer {
  return createHash("sha256").update(secret).digest()
}
