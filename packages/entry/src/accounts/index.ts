export * from "./account-table.js"
export * from "./account-usage.js"
export * from "./account-weights.js"
export * from "./authorizer.js"
