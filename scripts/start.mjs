import { spawn } from "node:child_process"
import { prepare, root } from "./prepare.mjs"

prepare()
const demo = spawn(process.execPath, ["packages/demo/dist/src/main.js", ...process.argv.slice(2)], {
  cwd: root,
  stdio: "inherit",
})
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => demo.kill(signal))
demo.on("exit", (code) => process.exit(code ?? 1))
