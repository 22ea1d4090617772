import type { IncomingMessage } from "node:http"

/**
 * Reads the whole body of a request. Resolves to `too-large` when the body has
 * more than `maxBytes`, and to `gone` when the connection closes before its end
 * or the signal aborts.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal?: AbortSignal,
): Promise<Buffer | "too-large" | "gone"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    request.on("data", (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
      else resolve("too-large")
    })
    request.once("end", () => {
      resolve(Buffer.concat(chunks))
    })
    request.once("error", () => {
      resolve("gone")
    })
    request.once("close", () => {
      resolve("gone")
    })
    signal?.addEventListener("abort", () => {
      resolve("gone")
    })
  })
}
