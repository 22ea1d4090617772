export * from "./membership.js"
export * from "./ownership-confirmer.js"
export * from "./ownership.js"
export * from "./records.js"
