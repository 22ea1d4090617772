import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64"
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"

/**
 * Returns a generator of numbers from 0 up to, but not including, 1. Equal
 * seeds give equal sequences.
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
