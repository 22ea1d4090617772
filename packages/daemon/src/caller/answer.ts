import {
  type CompletionCall,
  type EnginePort,
  type StreamPart,
  UnknownOutcomeError,
} from "@galenaway/core"

/**
 * Runs a completion and yields its parts. It guarantees that each part comes
 * from the same run of the caller's own request on the adapter that it named,
 * without a gap; otherwise it throws.
 */
export async function* streamAnswer(
  engine: EnginePort,
  endpoint: string,
  call: CompletionCall,
  signal: AbortSignal,
): AsyncGenerator<StreamPart> {
  let expected = 1
  let run: string | undefined
  for await (const part of engine.complete(call, signal)) {
    run ??= part.source.run
    checkPart(part, call, run, expected, endpoint)
    expected++
    yield part
  }
}

function checkPart(
  part: StreamPart,
  call: CompletionCall,
  run: string,
  expected: number,
  endpoint: string,
): void {
  const { source } = part
  const isOwn =
    source.request === call.request &&
    source.adapter === call.adapter &&
    source.run === run &&
    part.sequence === expected
  if (isOwn) return
  const got = `${source.request} on ${source.adapter} part ${part.sequence}`
  throw new UnknownOutcomeError("wrong-answer", "stream", endpoint, `not this answer: ${got}`)
}
