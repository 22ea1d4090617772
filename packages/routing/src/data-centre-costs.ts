import type { DataCentre, Millis } from "@galenaway/core"

/** How full the engines of a data centre are. */
export interface DataCentreLoad {
  readonly dataCentre: DataCentre
  /** Running and waiting requests divided by the slots; above 1 requests wait. */
  readonly fill: number
}

/** From this fill on, requests are sent to another data centre. */
const FULL_SHARE = 0.95
/** Until the own data centre's fill is below this, they continue to be. */
const RELIEVED_SHARE = 0.8
/** A data centre is chosen for another one's requests below this fill. */
const ROOM_SHARE = 0.75
/** The fill from which it gets no more of them. */
const FILLED_SHARE = 0.88

/**
 * The additional costs of sending requests to other data centres, for the load
 * pattern of data centres whose peaks follow one another. Requests stay in their
 * data centre while its engines have room, since bytes between data centres have a
 * price. If they are full, the data centre with the most room gets the requests
 * until it fills up or the own one is relieved. Each instance decides on what it
 * sees. Engines without figures count as empty; a data centre without live engines
 * is never chosen.
 */
export class DataCentreCosts {
  private target: DataCentre | undefined

  /** `transferMs` is the price of a request's bytes between data centres, as an added wait. */
  constructor(
    private readonly local: DataCentre,
    private readonly transferMs: Millis,
  ) {}

  /** The data centre that gets requests of this one at present. */
  get overflowTarget(): DataCentre | undefined {
    return this.target
  }

  /** Chooses the data centre that gets requests of this one. Call it with each new set of figures. */
  update(loads: readonly DataCentreLoad[]): void {
    const localFill = loads.find(({ dataCentre }) => dataCentre === this.local)?.fill ?? Infinity
    const others = loads.filter(({ dataCentre }) => dataCentre !== this.local)
    const targetFill = others.find(({ dataCentre }) => dataCentre === this.target)?.fill ?? Infinity
    if (localFill < RELIEVED_SHARE || targetFill >= FILLED_SHARE) this.target = undefined
    if (this.target === undefined && localFill >= FULL_SHARE)
      this.target = findEmptiest(others)?.dataCentre
  }

  /** Returns the cost in ms that is added to an endpoint's cost for its data centre. */
  getCost(dataCentre: DataCentre): Millis {
    return dataCentre === this.local || dataCentre === this.target ? 0 : this.transferMs
  }
}

function findEmptiest(loads: readonly DataCentreLoad[]): DataCentreLoad | undefined {
  return loads
    .filter(({ fill }) => fill < ROOM_SHARE)
    .reduce<DataCentreLoad | undefined>(
      (emptiest, load) => (emptiest === undefined || load.fill < emptiest.fill ? load : emptiest),
      undefined,
    )
}
