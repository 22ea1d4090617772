import type {
  Clock,
  InstanceId,
  PlatformListEntry,
  PlatformPort,
  VersionedValue,
} from "@galenaway/core"
import type { CounterMetric, Metrics } from "@galenaway/observe"

/** Counts and times the calls to the platform. Watches are counted and not timed, because they wait for a change. */
export class MeasuredPlatform implements PlatformPort {
  constructor(
    private readonly inner: PlatformPort,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  read(key: string): Promise<VersionedValue | undefined> {
    return this.measure("platform-reads", () => this.inner.read(key))
  }

  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<boolean> {
    return this.measure("platform-writes", () =>
      this.inner.compareAndSwap(key, expectedRevision, value),
    )
  }

  async watch(
    key: string,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<VersionedValue | undefined> {
    this.metrics.count("platform-watches")
    try {
      return await this.inner.watch(key, afterRevision, signal)
    } catch (error) {
      if (!signal.aborted) this.metrics.count("platform-failures")
      throw error
    }
  }

  list(): Promise<readonly PlatformListEntry[]> {
    return this.measure("platform-reads", () => this.inner.list())
  }

  openLease(ttlMs: number, holder: InstanceId): Promise<string> {
    return this.measure("platform-writes", () => this.inner.openLease(ttlMs, holder))
  }

  renewLease(lease: string): Promise<boolean> {
    return this.measure("platform-writes", () => this.inner.renewLease(lease))
  }

  closeLease(lease: string): Promise<void> {
    return this.measure("platform-writes", () => this.inner.closeLease(lease))
  }

  acquire(key: string, lease: string, value: string): Promise<boolean> {
    return this.measure("platform-writes", () => this.inner.acquire(key, lease, value))
  }

  private async measure<T>(counter: CounterMetric, call: () => Promise<T>): Promise<T> {
    const startedAt = this.clock.now()
    this.metrics.count(counter)
    try {
      return await call()
    } catch (error) {
      this.metrics.count("platform-failures")
      throw error
    } finally {
      this.metrics.recordDuration("platform-call", this.clock.now() - startedAt)
    }
  }
}
