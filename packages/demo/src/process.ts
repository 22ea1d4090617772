import { type ChildProcess, spawn } from "node:child_process"
import { createRequire } from "node:module"
import { type AddressInfo, createServer, type Server } from "node:net"
import { dirname, join } from "node:path"

const START_TIMEOUT_MS = 20_000

/** A process that the launcher started. */
export interface StartedProcess {
  readonly name: string
  readonly child: ChildProcess
  /** The key=value pairs that it printed after `ready`. */
  readonly readyText: string
  /** Resolves when the process has exited. */
  readonly ended: Promise<void>
}

/** A Node.js script to start as a process, with its arguments and environment. */
export interface ProcessSpec {
  /** The name used in error messages. */
  readonly name: string
  readonly script: string
  readonly args: readonly string[]
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>
  /** Called with each chunk that the process writes to standard error. */
  readonly onLog?: (text: string) => void
}

/**
 * Starts a process and waits until it prints a line that begins with `ready `.
 * Throws if the process exits before that or the time limit expires.
 */
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

/**
 * Stops a process with SIGTERM, or with SIGKILL after `timeoutMs`. A paused process is
 * resumed first.
 */
export async function stopProcess(started: StartedProcess, timeoutMs = 35_000): Promise<void> {
  const { child, ended } = started
  if (child.exitCode !== null || child.signalCode !== null) return
  child.kill("SIGCONT")
  child.kill("SIGTERM")
  const timer = setTimeout(() => child.kill("SIGKILL"), timeoutMs)
  await ended
  clearTimeout(timer)
}

/** Finds free ports on loopback. They are not reserved, so another process may bind them first. */
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

/** Returns the path of a compiled script in the directory of a workspace package's main module. */
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
    const fail = (reason: string) => {
      clearTimeout(timer)
      reject(new Error(`${name}: ${reason}\n${errors}`))
    }
    const timer = setTimeout(() => {
      child.kill("SIGKILL")
      fail(`not ready after ${START_TIMEOUT_MS} ms`)
    }, START_TIMEOUT_MS)
    child.once("exit", (code) => {
      fail(`exited with code ${code ?? "none"} before it was ready`)
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
