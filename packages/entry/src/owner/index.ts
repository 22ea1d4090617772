export * from "./arrival-polls.js"
export * from "./engine-keeper.js"
export * from "./load-queue.js"
export * from "./owner.js"
