export * from "./log.js"
