/** Creates a generator of uniform random numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 48_271) % 2_147_483_647
    return state / 2_147_483_647
  }
}
