export * from "./event.js"
export * from "./log.js"
export * from "./metrics.js"
export * from "./silent.js"
