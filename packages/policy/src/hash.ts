import xxhash from "xxhash-wasm"

const hasher = await xxhash()

/** Hashes a text to an unsigned 32-bit number. The result is the same on every instance. */
export function hashText(text: string, seed = 0): number {
  return hasher.h32(text, seed)
}

/** Merges two hashes into an unsigned 32-bit number. Every bit of the result depends on both. */
export function mergeHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
