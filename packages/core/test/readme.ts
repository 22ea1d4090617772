import { readFileSync } from "node:fs"

/** The embedding example of a README: the code and its expected output. */
export interface Example {
  readonly code: string
  readonly output: string
}

/** Reads the embedding example of a package's README. */
export function readExample(packageName: string): Example {
  const url = new URL(`../../../${packageName}/README.md`, import.meta.url)
  const text = readFileSync(url, "utf8")
  return { code: findBlock(text, "ts"), output: findBlock(text, "text") }
}

/**
 * Runs an example's code and returns its console output. The code is wrapped in a
 * function that replaces `console`, and its imports are moved to the top of the module
 * with resolved URLs, since a `data:` module can't resolve package names.
 */
export async function runExample({ code }: Example): Promise<string> {
  const lines: string[] = []
  const run = `export const run = (console) => {\n${code.replace(/^import [^]*? from .*$/gm, "")}}\n`
  const imports = [...code.matchAll(/^import [^]*? from .*$/gm)].map(([line]) => line).join("\n")
  const resolved = `${imports}\n${run}`.replace(/"(@galenaway\/\w+)"/g, (_, name: string) =>
    JSON.stringify(import.meta.resolve(name)),
  )
  const module = (await import(
    `data:text/javascript,${encodeURIComponent(resolved)}`
  )) as ExampleModule
  module.run({ log: (...values: unknown[]) => lines.push(values.join(" ")) })
  return `${lines.join("\n")}\n`
}

interface ExampleModule {
  readonly run: (console: { readonly log: (...values: unknown[]) => void }) => void
}

function findBlock(text: string, language: string): string {
  const block = new RegExp(`^\`\`\`${language}\\n([^]*?)^\`\`\`$`, "m").exec(text)?.[1]
  if (block === undefined) throw new Error(`the README has no \`${language}\` block`)
  return block
}
