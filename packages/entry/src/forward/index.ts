export * from "./errors.js"
export * from "./handler.js"
export * from "./parts.js"
export * from "./pools.js"
