export * from "./engine-controller.js"
export * from "./load-poll-schedule.js"
export * from "./load-queue.js"
export * from "./owner.js"
