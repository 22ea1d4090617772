import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64"
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"

/** Returns a source of numbers from 0 up to 1 that depends on the seed alone. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
