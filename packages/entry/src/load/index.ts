export * from "./instance-monitor.js"
export * from "./slow-instances.js"
