/** A whole event of an event stream: its bytes, with the blank line that ends it, and its id. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /^id:? ?(.*)$/
const EMPTY = Buffer.alloc(0)

/** Splits the bytes of an event stream into whole events; what is not yet whole is held back. */
export class EventSplitter {
  private buffered: Buffer = EMPTY
  private scanned = 0

  /** Takes bytes; returns the events that are whole now, in order. */
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
    // A blank line may begin in the last three bytes.
    this.scanned = Math.max(0, this.buffered.length - 3)
    return events
  }

  /** Bytes of an event that hasn't ended. */
  get pendingBytes(): number {
    return this.buffered.length
  }

  /** Takes out the bytes of an event that hasn't ended. */
  removePending(): Buffer {
    const { buffered } = this
    this.buffered = EMPTY
    this.scanned = 0
    return buffered
  }
}

/** Returns the index after the next blank line, or -1. */
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
