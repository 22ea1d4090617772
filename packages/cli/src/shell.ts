import { randomUUID } from "node:crypto"
import { readFileSync, writeFileSync } from "node:fs"
import { createInterface } from "node:readline/promises"

/**
 * The tool's access to its environment: terminal, files, clock and ids. Tests and
 * embedders may replace it.
 */
export interface Shell {
  readonly env: Readonly<Record<string, string | undefined>>
  /** Whether a user at a terminal can answer prompts. */
  readonly isInteractive: boolean
  /** Whether a progress line may be written to the standard error. */
  readonly canShowProgress: boolean
  /** Writes results, to the standard output. */
  print(text: string): void
  /** Writes messages that are not results, to the standard error. */
  printError(text: string): void
  /** Shows a question and returns the user's answer. Called only if `isInteractive` is true. */
  prompt(question: string): Promise<string>
  /** Reads a text file, or the standard input for `-`. Throws if it can't be read. */
  readFile(path: string): string
  writeFile(path: string, text: string): void
  /** Waits for a time in milliseconds. */
  pause(ms: number): Promise<void>
  /** Returns the time in milliseconds since the Unix epoch. */
  now(): number
  /** Creates a unique id for a change. */
  createId(): string
}

const STDIN_FILE_DESCRIPTOR = 0

/** Creates the shell that uses this process's environment. */
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
  const terminal = createInterface({ input: process.stdin, output: process.stderr })
  try {
    return await terminal.question(question)
  } finally {
    terminal.close()
  }
}
