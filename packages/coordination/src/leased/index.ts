export * from "./authority.js"
export * from "./claims.js"
export * from "./suspension.js"
