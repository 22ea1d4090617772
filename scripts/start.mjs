import { spawn } from "node:child_process"
import { prepare, root } from "./prepare.mjs"

prepare()
const isPlatform = process.argv.includes("--platform")
const script = isPlatform ? "platform/dist/test/stand-in/main.js" : "packages/demo/dist/src/main.js"
const args = process.argv.slice(2).filter((arg) => arg !== "--platform")
const demo = spawn(process.execPath, [script, ...args], {
  cwd: root,
  stdio: "inherit",
})
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => demo.kill(signal))
demo.on("exit", (code) => process.exit(code ?? 1))
