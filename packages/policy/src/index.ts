export { applySchedulerEvent } from "./events.js"
export * from "./hash.js"
export * from "./naive.js"
export { rankEndpoints } from "./placement.js"
export * from "./retry.js"
export * from "./running-requests.js"
export { runScheduler } from "./run.js"
export * from "./scheduler.js"
export * from "./settings.js"
export * from "./share.js"
export {
  createScheduler,
  type EndpointState,
  listQueued,
  getEndpointState,
  type SchedulerTables,
  setLoadShare,
  setPolicy,
} from "./tables.js"
export * from "./view.js"
export * from "./adapter-slots.js"
export * from "./admission-queue.js"
export * from "./fair-turns.js"
export * from "./pace.js"
export * from "./quota/index.js"
export * from "./instance-load.js"
export * from "./unready-schedule.js"
