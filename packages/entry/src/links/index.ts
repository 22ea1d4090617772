export * from "./client.js"
export * from "./links.js"
export * from "./server.js"
export * from "./uses.js"
