import xxhash from "xxhash-wasm"

const hasher = await xxhash()

/** Hashes a text to an unsigned 32-bit number. It is the same on every instance. */
export function hashText(text: string, seed = 0): number {
  return hasher.h32(text, seed)
}
