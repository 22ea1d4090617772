import type { Incarnation } from "@galenaway/core"
import type { AnnouncedEviction } from "./member.js"
import type {
  HeldGrant,
  OwnerEvent,
  OwnerState,
  OwnerTransaction,
  PredecessorState,
} from "./owner.js"

type HoldingsReport = Extract<OwnerEvent, { kind: "holdings-reported" }>

/** Takes over a member's grants from its first report, and what it witnessed from each. */
export function applyHoldings(state: OwnerState, report: HoldingsReport): OwnerTransaction {
  if (report.epoch !== state.ownership.epoch || state.phase === "deposed")
    return { state, effects: [] }
  const pendingReports = new Set(state.pendingReports)
  pendingReports.delete(report.member)
  const predecessors = new Map(
    [...state.predecessors].map(([epoch, entry]) => [epoch, applyWitnessReport(entry, report)]),
  )
  const grants = mergeGrants(state, report)
  const earlyReturns = pendingReports.size === 0 ? new Set<string>() : state.earlyReturns
  return { state: { ...state, pendingReports, predecessors, grants, earlyReturns }, effects: [] }
}

/**
 * The report lists all grants of older epochs that the member holds or will
 * ever hold, so those that it leaves out are over. Only its first report adds
 * grants: by a later one they may have come back already.
 */
function mergeGrants(state: OwnerState, report: HoldingsReport): ReadonlyMap<string, HeldGrant> {
  const reported = new Set(report.grants.map(({ id }) => id))
  const isOver = ({ grant, holder }: HeldGrant) =>
    holder === report.member && grant.epoch < report.epoch && !reported.has(grant.id)
  const grants = new Map([...state.grants].filter(([, held]) => !isOver(held)))
  if (!state.pendingReports.has(report.member)) return grants
  for (const grant of report.grants)
    if (grant.endpoint === state.endpoint && !state.earlyReturns.has(grant.id))
      grants.set(grant.id, { grant, holder: report.member })
  return grants
}

/**
 * An eviction is ordered only after every witness has acknowledged it, and a
 * witness that has answered acknowledges no more of that epoch. So each answer
 * bounds what the predecessor can still order, and two bound it by what both know.
 */
function applyWitnessReport(
  entry: PredecessorState,
  { member, announced }: { member: Incarnation; announced: readonly AnnouncedEviction[] },
): PredecessorState {
  if (!entry.witnesses.has(member)) return entry
  const told = new Set(
    announced.filter(({ epoch }) => epoch === entry.epoch).map(({ adapter }) => adapter),
  )
  const both = [...told].filter(
    (adapter) => !entry.hasWitnessReport || entry.announced.has(adapter),
  )
  return { ...entry, hasWitnessReport: true, announced: new Set(both) }
}
