import { type Agent, type Dispatcher, request as sendRequest } from "undici"
import {
  describeError,
  type InstanceId,
  type PlatformListEntry,
  PlatformError,
  type PlatformPort,
  type VersionedValue,
} from "@galenaway/core"

const CALL_TIMEOUT_MS = 2000
const WATCH_TIMEOUT_SECONDS = 30

interface CallOptions {
  readonly method: Dispatcher.HttpMethod
  readonly body?: string
  readonly signal?: AbortSignal
  readonly timeoutMs?: number
}

interface Reply {
  readonly status: number
  readonly body: unknown
}

interface KvEntry {
  readonly Value: string
  readonly ModifyIndex: number
}

/** Client of a platform with the HTTP interface of Consul: its KV store, sessions and blocking queries. A failed call throws a PlatformError. */
export class ConsulPlatform implements PlatformPort {
  constructor(
    private readonly url: string,
    private readonly agent: Agent,
  ) {}

  async read(key: string): Promise<VersionedValue | undefined> {
    return parseEntry(await this.call(`/v1/kv/${encodeKey(key)}`, { method: "GET" }))
  }

  async compareAndSwap(key: string, expectedRevision: number, value: string): Promise<boolean> {
    const path = `/v1/kv/${encodeKey(key)}?cas=${expectedRevision}`
    const reply = await this.call(path, { method: "PUT", body: value })
    return reply.body === true
  }

  async watch(
    key: string,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<VersionedValue | undefined> {
    const path = `/v1/kv/${encodeKey(key)}?index=${Math.max(1, afterRevision)}&wait=${WATCH_TIMEOUT_SECONDS}s`
    const timeoutMs = WATCH_TIMEOUT_SECONDS * 1000 + CALL_TIMEOUT_MS
    return parseEntry(await this.call(path, { method: "GET", signal, timeoutMs }))
  }

  async list(): Promise<readonly PlatformListEntry[]> {
    const reply = await this.call("/v1/catalog", { method: "GET" })
    return reply.body as readonly PlatformListEntry[]
  }

  async openLease(ttlMs: number, holder: InstanceId): Promise<string> {
    const body = JSON.stringify({ TTL: `${ttlMs / 1000}s`, Name: holder })
    const reply = await this.call("/v1/session/create", { method: "PUT", body })
    return (reply.body as { ID: string }).ID
  }

  async renewLease(lease: string): Promise<boolean> {
    const reply = await this.call(`/v1/session/renew/${lease}`, { method: "PUT" })
    return reply.status === 200
  }

  async closeLease(lease: string): Promise<void> {
    await this.call(`/v1/session/destroy/${lease}`, { method: "PUT" })
  }

  async acquire(key: string, lease: string, value: string): Promise<boolean> {
    const path = `/v1/kv/${encodeKey(key)}?acquire=${lease}`
    const reply = await this.call(path, { method: "PUT", body: value })
    return reply.body === true
  }

  private async call(path: string, options: CallOptions): Promise<Reply> {
    const timeout = AbortSignal.timeout(options.timeoutMs ?? CALL_TIMEOUT_MS)
    const signal = options.signal ? AbortSignal.any([options.signal, timeout]) : timeout
    try {
      const { statusCode, body } = await sendRequest(`${this.url}${path}`, {
        method: options.method,
        dispatcher: this.agent,
        signal,
        headersTimeout: 0,
        ...(options.body === undefined ? {} : { body: options.body }),
      })
      const json = await body.json()
      if (statusCode >= 500) throw new Error(`status ${statusCode}`)
      return { status: statusCode, body: json }
    } catch (error) {
      throw new PlatformError(this.url, describeError(error), { cause: error })
    }
  }
}

function encodeKey(key: string): string {
  return key.split("/").map(encodeURIComponent).join("/")
}

function parseEntry(reply: Reply): VersionedValue | undefined {
  const [entry] = reply.body as readonly KvEntry[]
  if (!entry) return undefined
  return {
    value: Buffer.from(entry.Value, "base64").toString("utf8"),
    revision: entry.ModifyIndex,
  }
}
