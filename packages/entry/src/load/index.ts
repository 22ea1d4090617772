export * from "./instance-monitor.js"
export * from "./service-overflow.js"
export * from "./slow-instances.js"
