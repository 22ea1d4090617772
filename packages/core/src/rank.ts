/** The ranks of requests, most urgent first. */
export const RANKS = ["urgent", "standard", "bulk"] as const

/** The urgency of a request. Lower ranks yield to higher ranks, except for the guaranteed share that is their floor. */
export type Rank = (typeof RANKS)[number]

/** A value for each rank. */
export type ByRank<T> = Readonly<Record<Rank, T>>

/** Returns whether a text is the name of a rank. */
export function isRank(text: string): text is Rank {
  return (RANKS as readonly string[]).includes(text)
}

/** Returns the position of a rank in {@link RANKS}, 0 for the most urgent. */
export function getRankIndex(rank: Rank): number {
  return RANKS.indexOf(rank)
}
