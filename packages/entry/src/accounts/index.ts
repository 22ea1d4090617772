export * from "./account-table.js"
export * from "./authorizer.js"
