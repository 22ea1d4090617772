import { existsSync, readdirSync, readFileSync } from "node:fs"

/** What a process has used at most. */
export interface ProcessUsage {
  /** The highest resident memory since the start of the process, in bytes. */
  readonly maxResidentBytes: number
  /** The highest number of open descriptors that was seen. */
  readonly maxDescriptorCount: number
}

const SAMPLE_INTERVAL_MS = 20
const BYTES_PER_KB = 1024

/** Watches the memory and the descriptors of a process of this user on Linux. */
export class ProcessWatch {
  private maxDescriptorCount = 0
  private readonly timer: NodeJS.Timeout

  constructor(private readonly pid: number) {
    this.timer = setInterval(() => {
      this.sampleDescriptors()
    }, SAMPLE_INTERVAL_MS)
  }

  /** Whether the process runs. */
  get isAlive(): boolean {
    return existsSync(`/proc/${this.pid}`)
  }

  /** Returns the usage until now. Throws if the process has ended. */
  read(): ProcessUsage {
    this.sampleDescriptors()
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8")
    const kilobytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1])
    return {
      maxResidentBytes: kilobytes * BYTES_PER_KB,
      maxDescriptorCount: this.maxDescriptorCount,
    }
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.timer)
  }

  private sampleDescriptors(): void {
    if (!this.isAlive) return
    const { length } = readdirSync(`/proc/${this.pid}/fd`)
    this.maxDescriptorCount = Math.max(this.maxDescriptorCount, length)
  }
}
