export * from "./record.js"
export * from "./timer.js"
