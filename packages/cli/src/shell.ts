import { randomUUID } from "node:crypto"
import { readFileSync, writeFileSync } from "node:fs"
import { createInterface } from "node:readline/promises"

/** What the tool does to the world around it. Tests give their own. */
export interface Shell {
  readonly env: Readonly<Record<string, string | undefined>>
  /** Whether a person can be asked. */
  readonly isInteractive: boolean
  /** Whether a progress line may be drawn. */
  readonly canShowProgress: boolean
  /** Writes results. */
  print(text: string): void
  /** Writes messages that are not results. */
  printError(text: string): void
  /** Asks a person; called only when {@link isInteractive}. */
  prompt(question: string): Promise<string>
  /** Reads a file; `-` is the standard input. */
  readFile(path: string): string
  writeFile(path: string, text: string): void
  pause(ms: number): Promise<void>
  /** Milliseconds since the Unix epoch. */
  now(): number
  createId(): string
}

const STDIN_FILE_DESCRIPTOR = 0

/** Creates the shell of a real process. */
export function createSystemShell(): Shell {
  return {
    env: process.env,
    isInteractive: process.stdin.isTTY && process.stderr.isTTY,
    canShowProgress: process.stderr.isTTY,
    print: (text) => process.stdout.write(text),
    printError: (text) => process.stderr.write(text),
    prompt: promptUser,
    readFile: (path) => readFileSync(path === "-" ? STDIN_FILE_DESCRIPTOR : path, "utf8"),
    writeFile: (path, text) => {
      writeFileSync(path, text)
    },
    pause: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
    now: () => Date.now(),
    createId: () => randomUUID(),
  }
}

async function promptUser(question: string): Promise<string> {
  const lines = createInterface({ input: process.stdin, output: process.stderr })
  try {
    return await lines.question(question)
  } finally {
    lines.close()
  }
}
