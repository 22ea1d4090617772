// Bundles the entry instance for the users' platform into one file in target/.
import { build } from "esbuild"
import { execFileSync } from "node:child_process"
import { root } from "./prepare.mjs"

execFileSync("npx", ["tsc", "-b", "platform"], { cwd: root, stdio: "inherit" })
await build({
  absWorkingDir: root,
  entryPoints: ["platform/dist/src/main.js"],
  outfile: "target/galenaway-entry.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  logLevel: "warning",
  minifySyntax: true,
  minifyWhitespace: true,
  alias: {
    undici: "./scripts/bundle/undici.mjs",
    "hdr-histogram-js": "./scripts/bundle/hdr-histogram.mjs",
  },
  banner: {
    js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);",
  },
})
