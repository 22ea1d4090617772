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

/**
 * Applies a member's holdings report. Grants are taken over from its first
 * report only, announcements from each report. Reports of other epochs are
 * ignored.
 */
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
 * Merges the reported grants. After its report a member accepts no more grants
 * of older epochs, so an older grant that the report omits has ended. Only
 * the first report adds grants: a grant in a later report may have been
 * returned already.
 */
function mergeGrants(state: OwnerState, report: HoldingsReport): ReadonlyMap<string, HeldGrant> {
  const reported = new Set(report.grants.map(({ id }) => id))
  const hasEnded = ({ grant, holder }: HeldGrant) =>
    holder === report.member && grant.epoch < report.epoch && !reported.has(grant.id)
  const grants = new Map([...state.grants].filter(([, held]) => !hasEnded(held)))
  if (!state.pendingReports.has(report.member)) return grants
  for (const grant of report.grants)
    if (grant.endpoint === state.endpoint && !state.earlyReturns.has(grant.id))
      grants.set(grant.id, { grant, holder: report.member })
  return grants
}

/**
 * Applies a witness's report about a predecessor. An eviction is ordered only
 * after every witness has acknowledged it, and a witness acknowledges no more
 * evictions of that epoch after its report. So the predecessor can only order
 * evictions that every report contains.
 */
function applyWitnessReport(
  entry: PredecessorState,
  { member, announced }: { member: Incarnation; announced: readonly AnnouncedEviction[] },
): PredecessorState {
  if (!entry.witnesses.has(member)) return entry
  const reported = new Set(
    announced.filter(({ epoch }) => epoch === entry.epoch).map(({ adapter }) => adapter),
  )
  const common = [...reported].filter(
    (adapter) => !entry.hasWitnessReport || entry.announced.has(adapter),
  )
  return { ...entry, hasWitnessReport: true, announced: new Set(common) }
}
