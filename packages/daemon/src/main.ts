#!/usr/bin/env node
import { CommanderError } from "commander"
import { startDaemon } from "./daemon.js"
import { readSettings, type Settings, SettingsError } from "./settings.js"

const EXIT_INVALID_SETTINGS = 2

const settings = readSettingsOrExit()
const daemon = await startDaemon(settings)
process.stdout.write(`ready id=${settings.id}\n`)
for (const signal of ["SIGTERM", "SIGINT"] as const)
  process.once(signal, () => void daemon.stop().then(() => process.exit(0)))

function readSettingsOrExit(): Settings {
  try {
    return readSettings(process.argv.slice(2), process.env)
  } catch (error) {
    if (error instanceof SettingsError) process.stderr.write(`${error.message}\n`)
    else if (!(error instanceof CommanderError)) throw error
    else if (error.exitCode === 0) process.exit(0)
    process.exit(EXIT_INVALID_SETTINGS)
  }
}
