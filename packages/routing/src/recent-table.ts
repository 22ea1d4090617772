/** A table with a bounded number of entries. The one that was set least recently is dropped. */
export class RecentTable<K, V> {
  private readonly entries = new Map<K, V>()

  constructor(private readonly maxCount: number) {}

  /** Returns the value of a key. */
  get(key: K): V | undefined {
    return this.entries.get(key)
  }

  /** Sets the value of a key, which is the most recent one from then on. */
  set(key: K, value: V): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    const [oldest] = this.entries.keys()
    if (this.entries.size > this.maxCount && oldest !== undefined) this.entries.delete(oldest)
  }

  /** Number of entries. */
  get size(): number {
    return this.entries.size
  }
}
