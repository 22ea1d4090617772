/** The ranks of work, most urgent first. */
export const RANKS = ["urgent", "standard", "bulk"] as const

/** How urgent a request is. A lower-ranked request yields to a higher-ranked one, down to its floor. */
export type Rank = (typeof RANKS)[number]

/** A value for each rank. */
export type ByRank<T> = Readonly<Record<Rank, T>>

/** Tells whether a text names a rank. */
export function isRank(text: string): text is Rank {
  return (RANKS as readonly string[]).includes(text)
}

/** Returns the position of a rank, 0 for the most urgent. */
export function getRankIndex(rank: Rank): number {
  return RANKS.indexOf(rank)
}
