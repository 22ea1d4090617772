import { readFileSync } from "node:fs"
import type { GuardLimits } from "./guard.js"

/** The limits of a process that callers can exhaust. */
export interface ProcessLimits {
  /** Memory of the process, in megabytes. */
  readonly memoryMb: number
  /** Number of descriptors that the process may open; by default the limit of the system. */
  readonly maxDescriptors?: number | undefined
  /** How many copies of a body the process makes while it serves a request, by default 1. */
  readonly copyCount?: number
}

const BYTES_PER_MB = 1024 * 1024
/** Resident memory of a process without load, with the garbage that the collector leaves. */
const BASE_MEMORY_MB = 150
/** Share of the remaining memory for bytes that are held for callers. The rest is for the heap and for the system's socket buffers. */
const BUDGET_SHARE = 0.3
/** Holds two bodies of the documented limit. */
const MIN_BUDGET_MB = 8
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTOR_COUNT = 200
/** Share of the other descriptors for callers. The rest is for endpoints, peers and the store. */
const CALLER_SHARE = 0.75
const MIN_CONNECTION_COUNT = 16
const UNKNOWN_DESCRIPTOR_COUNT = 1024

/** Computes what a process may hold for its callers. */
export function computeGuardLimits(limits: ProcessLimits): GuardLimits {
  const { memoryMb, maxDescriptors, copyCount = 1 } = limits
  const freeMb = Math.max(0, memoryMb - BASE_MEMORY_MB)
  const budgetMb = Math.max(MIN_BUDGET_MB, (BUDGET_SHARE * freeMb) / copyCount)
  const descriptorCount = (maxDescriptors ?? readMaxDescriptors()) - FILE_DESCRIPTOR_COUNT
  return {
    budgetBytes: Math.round(budgetMb * BYTES_PER_MB),
    maxConnections: Math.max(MIN_CONNECTION_COUNT, Math.floor(CALLER_SHARE * descriptorCount)),
  }
}

/** Reads the system's limit on the descriptors of this process. */
function readMaxDescriptors(): number {
  try {
    const match = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))
    return match ? Number(match[1]) : UNKNOWN_DESCRIPTOR_COUNT
  } catch {
    return UNKNOWN_DESCRIPTOR_COUNT
  }
}
