export * from "./end-check.js"
export * from "./part-guard.js"
export * from "./part-store.js"
export * from "./running-parts.js"
