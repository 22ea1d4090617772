const CONNECT_FAILURES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]

/** Tells whether an error means that no connection came about, so that no byte can have left. */
export function isConnectFailure(error: unknown): boolean {
  return CONNECT_FAILURES.includes((error as { code?: string }).code ?? "")
}
