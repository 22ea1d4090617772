export * from "./client.js"
export * from "./exit.js"
export * from "./program.js"
export * from "./shell.js"
