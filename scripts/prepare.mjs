import { spawnSync } from "node:child_process"
import { existsSync, statSync } from "node:fs"
import { fileURLToPath } from "node:url"

/** The root directory of the repository. */
export const root = fileURLToPath(new URL("..", import.meta.url))

/** Runs a command in the root directory. When it fails, this process exits with the same code. */
export function run(command, args, options = {}) {
  const { status } = spawnSync(command, args, { cwd: root, stdio: "inherit", ...options })
  if (status !== 0) process.exit(status ?? 1)
}

/** Installs the dependencies if they are missing or older than the lock file, then builds. */
export function prepare() {
  const marker = `${root}/node_modules/.package-lock.json`
  const lock = `${root}/package-lock.json`
  if (!existsSync(marker) || statSync(marker).mtimeMs < statSync(lock).mtimeMs)
    run("npm", ["ci", "--no-fund", "--no-audit", "--loglevel=error"])
  run("npx", ["tsc", "-b"])
}
