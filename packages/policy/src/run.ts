import type { Millis } from "@galenaway/core"
import { runGrants } from "./grant.js"
import { runLoads } from "./load.js"
import { runRedirects, runRefusals } from "./refuse.js"
import type { SchedulerOrder } from "./scheduler.js"
import type { SchedulerTables } from "./tables.js"

/**
 * Runs refusals, grants, loads and redirects once, in this order, and returns
 * the resulting orders. The tables record each returned order as issued, so the
 * caller must execute every order once. Call it after events and at least once
 * in each tick.
 */
export function runScheduler(tables: SchedulerTables, now: Millis): SchedulerOrder[] {
  const orders: SchedulerOrder[] = []
  runRefusals(tables, now, orders)
  runGrants(tables, now, orders)
  runLoads(tables, now, orders)
  runRedirects(tables, orders)
  return orders
}
