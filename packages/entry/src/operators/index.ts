export * from "./account-routes.js"
export * from "./quarantine-routes.js"
