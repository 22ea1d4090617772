export * from "./account-table.js"
export * from "./account-usage.js"
export * from "./authorizer.js"
export * from "./routes.js"
