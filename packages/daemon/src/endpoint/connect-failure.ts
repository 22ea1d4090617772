const CONNECT_ERROR_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]

/** Returns whether an error means that no connection could be opened, so that no byte can have been sent. */
export function isConnectFailure(error: unknown): boolean {
  return CONNECT_ERROR_CODES.includes((error as { code?: string }).code ?? "")
}
