export * from "./hash.js"
export * from "./naive.js"
