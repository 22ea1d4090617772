/** One version of one LoRA adapter on one base model. */
export interface AdapterRef {
  readonly base: string
  readonly adapter: string
  readonly version: string
}

/** The canonical text of an {@link AdapterRef}, `base/adapter@version`. Callers and engines use it as the model name. */
export type AdapterKey = string & { readonly brand: "AdapterKey" }

const NAME_PART = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
const MODEL_NAME = new RegExp(`^(${NAME_PART})/(${NAME_PART})@(${NAME_PART})$`)

/** Formats an adapter as its canonical key. */
export function formatAdapter(ref: AdapterRef): AdapterKey {
  return `${ref.base}/${ref.adapter}@${ref.version}` as AdapterKey
}

/** Parses a model name. Returns undefined if it doesn't have the form `base/adapter@version`. */
export function parseAdapter(model: string): AdapterRef | undefined {
  const match = MODEL_NAME.exec(model)
  if (!match) return undefined
  const [, base = "", adapter = "", version = ""] = match
  return { base, adapter, version }
}

/** Parses a model name into its key. Returns undefined if the name is malformed. */
export function parseAdapterKey(model: string): AdapterKey | undefined {
  const ref = parseAdapter(model)
  return ref && formatAdapter(ref)
}
