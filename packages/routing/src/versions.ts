import type { AdapterName, AdapterVersion, Millis } from "@galenaway/core"

interface AnnouncedVersion {
  readonly version: AdapterVersion
  readonly receivedAt: Millis
}

/** The newest version of each adapter that has been named, and when this process learned of it. */
export class VersionTable {
  private readonly announced = new Map<AdapterName, AnnouncedVersion>()

  /** `graceMs` is how long an older version may still be used. */
  constructor(private readonly graceMs: Millis) {}

  /** Takes a named version. Returns false for one that isn't newer. */
  add(adapter: AdapterName, version: AdapterVersion, now: Millis): boolean {
    if ((this.announced.get(adapter)?.version ?? 0) >= version) return false
    this.announced.set(adapter, { version, receivedAt: now })
    return true
  }

  /** Returns the newest version, if any was named. */
  getNewest(adapter: AdapterName): AdapterVersion | undefined {
    return this.announced.get(adapter)?.version
  }

  /** Returns the lowest version that a request may begin on now; undefined where any will do. */
  getMinimum(adapter: AdapterName, now: Millis): AdapterVersion | undefined {
    const named = this.announced.get(adapter)
    return named && now - named.receivedAt >= this.graceMs ? named.version : undefined
  }
}
