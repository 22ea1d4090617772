const MAX_PORT = 65_535
const MAX_HOST_LENGTH = 253
const ADDRESS = /^(?<host>[^:[\]]+|\[[\da-fA-F:.]+\]):(?<port>[1-9]\d{0,4})$/
const HOST_NAME = /^[\w.-]+$/
const IPV4 = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/
/** First numbers of the IPv4 addresses that name no single host: 0 is this host, from 224 on are groups. */
const UNSPECIFIED_NETWORK = 0
const FIRST_GROUP_NETWORK = 224
/** Longest id of an endpoint, in characters. Keys of the store have at most 200 bytes, with any prefix. */
const MAX_ENDPOINT_ID_LENGTH = 128
const VISIBLE_ASCII = /^[!-~]+$/

/** Returns whether a text is the IPv4 address of one host and a port, `host:port`, to which a connection can be opened. */
export function isEndpointAddress(text: string): boolean {
  const host = findHost(text)
  if (host === undefined || !IPV4.test(host)) return false
  const network = Number(host.slice(0, host.indexOf(".")))
  return network !== UNSPECIFIED_NETWORK && network < FIRST_GROUP_NETWORK
}

/** Returns whether a text is the name or the address of a host and a port, `host:port`. An IPv6 address is in brackets. */
export function isHostAddress(text: string): boolean {
  const host = findHost(text)
  if (host === undefined || host.length > MAX_HOST_LENGTH) return false
  return host.startsWith("[") || HOST_NAME.test(host)
}

/** Returns whether a text can be an endpoint's id: it fits in a header, in a log line and in the keys that contain it. */
export function isEndpointId(text: string): boolean {
  return text.length <= MAX_ENDPOINT_ID_LENGTH && VISIBLE_ASCII.test(text)
}

/** Parses `host:port`. The last colon separates the port. */
export function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":")
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}

function findHost(address: string): string | undefined {
  const { host, port } = ADDRESS.exec(address)?.groups ?? {}
  return host !== undefined && Number(port) <= MAX_PORT ? host : undefined
}
