import type { AdapterName, AdapterVersion, Millis } from "@galenaway/core"

interface NamedVersion {
  readonly version: AdapterVersion
  readonly learnedAt: Millis
}

/** The newest version of each adapter that has been named, and when this process learned of it. */
export class VersionTable {
  private readonly named = new Map<AdapterName, NamedVersion>()

  /** `graceMs` is how long an older version may still be used. */
  constructor(private readonly graceMs: Millis) {}

  /** Takes a named version. Returns false for one that isn't newer. */
  add(adapter: AdapterName, version: AdapterVersion, now: Millis): boolean {
    if ((this.named.get(adapter)?.version ?? 0) >= version) return false
    this.named.set(adapter, { version, learnedAt: now })
    return true
  }

  /** Returns the newest version, if any was named. */
  getNewest(adapter: AdapterName): AdapterVersion | undefined {
    return this.named.get(adapter)?.version
  }

  /** Returns the lowest version that a request may begin on now; undefined where any will do. */
  getRequired(adapter: AdapterName, now: Millis): AdapterVersion | undefined {
    const named = this.named.get(adapter)
    return named && now - named.learnedAt >= this.graceMs ? named.version : undefined
  }
}
