import type { Millis } from "@galenaway/core"
import { runGrants } from "./grant.js"
import { runLoads } from "./load.js"
import { runRedirects, runRefusals } from "./refuse.js"
import type { SchedulerOrder } from "./scheduler.js"
import type { SchedulerTables } from "./tables.js"

/**
 * Runs every system once, in a fixed order, and returns what is to be done.
 * The tables count each returned order as given. The shell calls it after
 * events and at least once in each tick.
 */
export function runScheduler(tables: SchedulerTables, now: Millis): SchedulerOrder[] {
  const orders: SchedulerOrder[] = []
  runRefusals(tables, now, orders)
  runGrants(tables, now, orders)
  runLoads(tables, now, orders)
  runRedirects(tables, orders)
  return orders
}
