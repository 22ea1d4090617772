import { prepare, run } from "./prepare.mjs"

prepare()
run("npx", ["mocha", ...process.argv.slice(2)])
