export * from "./confirmations.js"
export * from "./membership.js"
export * from "./ownership.js"
export * from "./records.js"
