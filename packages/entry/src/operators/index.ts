export * from "./quarantine-routes.js"
