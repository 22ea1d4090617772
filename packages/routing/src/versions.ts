import type { AdapterName, AdapterVersion, Millis } from "@galenaway/core"

interface AnnouncedVersion {
  readonly version: AdapterVersion
  readonly receivedAt: Millis
}

/** The newest announced version of each adapter, with the time at which this process received the announcement. */
export class VersionTable {
  private readonly announced = new Map<AdapterName, AnnouncedVersion>()

  /** `graceMs` is how long an older version may be used after a newer one was announced. */
  constructor(private readonly graceMs: Millis) {}

  /** Records an announced version. Returns false and changes nothing when it isn't newer. */
  add(adapter: AdapterName, version: AdapterVersion, now: Millis): boolean {
    if ((this.announced.get(adapter)?.version ?? 0) >= version) return false
    this.announced.set(adapter, { version, receivedAt: now })
    return true
  }

  /** Returns the newest announced version, or undefined when none was announced. */
  getNewest(adapter: AdapterName): AdapterVersion | undefined {
    return this.announced.get(adapter)?.version
  }

  /** Returns the lowest version that a request may start with at `now`, or undefined when every version is accepted. */
  getMinimum(adapter: AdapterName, now: Millis): AdapterVersion | undefined {
    const newest = this.announced.get(adapter)
    return newest && now - newest.receivedAt >= this.graceMs ? newest.version : undefined
  }
}
