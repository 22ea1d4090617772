export * from "./explain-request.js"
export * from "./routes.js"
