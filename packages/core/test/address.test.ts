import { expect } from "chai"
import { isEndpointAddress, isEndpointId, isHostAddress } from "@galenaway/core"

const ENDPOINT_ADDRESSES = ["10.0.0.1:80", "127.0.0.1:1", "223.255.255.255:65535", "1.2.3.4:8000"]
const HOST_ADDRESSES = ["entry-1.example:9000", "localhost:1", "[::1]:7000", "[fe80::1]:65535"]
const ODD_ADDRESSES = [
  ...["10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:080", "10.0.0.1:-1"],
  ...["10.0.0.1:", "10.0.0.1", ":80", "", "10.0.0.1:80\n", " 10.0.0.1:80", "10.0.0.1:1e3"],
  ...["http://10.0.0.1:80", "a b:80", "::1:80", "[]:80", "dns:10.0.0.1:80", "10.0.0.1:80/x"],
]
const ODD_IP_ADDRESSES = [
  ...["999.0.0.1:80", "256.0.0.1:80", "1.2.3:80", "1.2.3.4.5:80", "1.2.3.4.:80", "08.1.1.1:80"],
  ...["0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "...:80", "4294967296:80", "1:80"],
]

it("an endpoint's address is one host and a port that can be connected to", () => {
  for (const text of ENDPOINT_ADDRESSES) expect(isEndpointAddress(text), text).to.equal(true)
  for (const text of [...HOST_ADDRESSES, ...ODD_ADDRESSES, ...ODD_IP_ADDRESSES])
    expect(isEndpointAddress(text), JSON.stringify(text)).to.equal(false)
})

it("an address of a host may have a name or an IPv6 address", () => {
  for (const text of [...ENDPOINT_ADDRESSES, ...HOST_ADDRESSES])
    expect(isHostAddress(text), text).to.equal(true)
  for (const text of [...ODD_ADDRESSES, `${"a".repeat(300)}:80`])
    expect(isHostAddress(text), JSON.stringify(text)).to.equal(false)
})

it("an id of an endpoint is short, visible ASCII", () => {
  for (const id of ["i-7f3a91c2", "e", "__proto__", "a/b", "x".repeat(128)])
    expect(isEndpointId(id), id).to.equal(true)
  for (const id of ["", " ", "a b", "a\r\nb", "\u0000", "\u007f", "é", "🙂", "x".repeat(129)])
    expect(isEndpointId(id), JSON.stringify(id)).to.equal(false)
})
