export * from "./forward.js"
export * from "./guards.js"
export * from "./links.js"
export * from "./owner.js"
