import { spawn } from "node:child_process"
import { prepare, root, run } from "./prepare.mjs"

/**
 * Starts the demo, or the platform's stand-in with --platform. With --bundle it
 * first builds the bundle of the entry instance, which the stand-in's instances
 * then run.
 * All other arguments are passed on.
 */
prepare()
const isPlatform = process.argv.includes("--platform")
const script = isPlatform ? "platform/dist/test/stand-in/main.js" : "packages/demo/dist/src/main.js"
const isBundle = process.argv.includes("--bundle")
if (isBundle) run("node", ["scripts/bundle.mjs"])
const ownFlags = ["--platform", "--bundle"]
const args = process.argv.slice(2).filter((arg) => !ownFlags.includes(arg))
const child = spawn(process.execPath, [script, ...args], {
  cwd: root,
  stdio: "inherit",
  env: {
    ...process.env,
    ...(isBundle && { GALENAWAY_ENTRY_PROGRAM: `${root}target/galenaway-entry.mjs` }),
  },
})
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => child.kill(signal))
child.on("exit", (code) => process.exit(code ?? 1))
