import type { IncomingMessage } from "node:http"

/** Reads a body whole. `gone` when the caller leaves before its end. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
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
  })
}
