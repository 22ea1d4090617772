import { runCli } from "./program.js"
import { createSystemShell } from "./shell.js"

process.exitCode = await runCli(process.argv.slice(2), createSystemShell())
