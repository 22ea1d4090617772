/** A complete event of an event stream: its bytes, including the blank line that ends it, and its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /^id:? ?(.*)$/
const EMPTY = Buffer.alloc(0)

/** Splits the bytes of an event stream into complete events and buffers an incomplete one. */
export class EventSplitter {
  private buffered: Buffer = EMPTY
  /** Number of buffered bytes that are already known to contain no end of an event. */
  private scanned = 0

  /** Adds bytes and returns the events that they complete, in order. */
  add(chunk: Buffer): StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (;;) {
      const end = findEventEnd(this.buffered, Math.max(start, this.scanned))
      if (end < 0) break
      const bytes = this.buffered.subarray(start, end)
      events.push({ bytes, id: findId(bytes) })
      start = end
      this.scanned = end
    }
    this.buffered = this.buffered.subarray(start)
    // The next blank line may begin within the last three bytes.
    this.scanned = Math.max(0, this.buffered.length - 3)
    return events
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.buffered.length
  }
}

/** Returns the index after the next blank line, or -1 if there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}

function findId(event: Buffer): string | undefined {
  let id: string | undefined
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    const match = line.startsWith("id") ? ID_FIELD.exec(line) : null
    if (match) id = match[1]
  }
  return id
}
