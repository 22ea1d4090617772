import { type ChildProcess, spawn } from "node:child_process"
import { createRequire } from "node:module"
import { type AddressInfo, createServer, type Server } from "node:net"
import { dirname, join } from "node:path"

const START_TIMEOUT_MS = 20_000

/** A process that the launcher started. */
export interface StartedProcess {
  readonly name: string
  readonly child: ChildProcess
  /** What it printed after `ready`, as key=value pairs. */
  readonly readyText: string
  /** Resolves when it has ended. */
  readonly ended: Promise<void>
}

/** What the launcher starts: a script of a workspace package, its arguments and its settings. */
export interface ProcessSpec {
  readonly name: string
  readonly script: string
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
  /** Called with each piece that it writes to standard error. */
  readonly onLog?: (text: string) => void
}

/** Starts a process and waits for its line `ready ...`. */
export async function startProcess(spec: ProcessSpec): Promise<StartedProcess> {
  const child = spawn(process.execPath, [spec.script, ...spec.args], {
    env: { ...process.env, ...spec.env },
    stdio: ["ignore", "pipe", "pipe"],
  })
  const ended = new Promise<void>((resolve) => {
    child.once("exit", () => {
      resolve()
    })
  })
  child.stderr.setEncoding("utf8").on("data", (text: string) => spec.onLog?.(text))
  const readyText = await waitForReady(spec.name, child)
  return { name: spec.name, child, readyText, ended }
}

/** Stops a process gracefully, by force after the limit. */
export async function stopProcess(started: StartedProcess, limitMs = 35_000): Promise<void> {
  const { child, ended } = started
  if (child.exitCode !== null || child.signalCode !== null) return
  child.kill("SIGCONT")
  child.kill("SIGTERM")
  const timer = setTimeout(() => child.kill("SIGKILL"), limitMs)
  await ended
  clearTimeout(timer)
}

/** Finds free loopback ports. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, "127.0.0.1", () => {
            resolve((server.address() as AddressInfo).port)
          })
        }),
    ),
  )
  await Promise.all(servers.map(closeServer))
  return ports
}

/** Returns the path of a compiled script in a workspace package. */
export function resolveScript(packageName: string, script: string): string {
  const require = createRequire(import.meta.url)
  const index = require.resolve(`@galenaway/${packageName}`)
  return join(dirname(index), script)
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })
}

function waitForReady(name: string, child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    let output = ""
    let errors = ""
    const fail = (why: string) => {
      clearTimeout(timer)
      reject(new Error(`${name}: ${why}\n${errors}`))
    }
    const timer = setTimeout(() => {
      child.kill("SIGKILL")
      fail("not ready in time")
    }, START_TIMEOUT_MS)
    child.once("exit", (code) => {
      fail(`ended with code ${code ?? "none"}`)
    })
    child.stderr?.on("data", (text: string) => (errors += text))
    child.stdout?.setEncoding("utf8").on("data", (text: string) => {
      output += text
      const match = /^ready (.*)$/m.exec(output)
      if (!match) return
      clearTimeout(timer)
      resolve(match[1] ?? "")
    })
  })
}
