export * from "./churn.js"
export * from "./fleet.js"
export * from "./process.js"
export * from "./sample.js"
