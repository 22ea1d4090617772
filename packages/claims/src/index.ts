export * from "./record.js"
