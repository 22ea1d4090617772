import {
  type AdapterName,
  type AdapterVersion,
  type Clock,
  type EndpointId,
  EndpointPausedError,
  type EngineClient,
  type EngineOrder,
  type InstanceId,
  type Millis,
  type OrderAnswer,
  type OrderConnection,
  type Registration,
} from "@galenaway/core"
import type { Log } from "@galenaway/observe"

/** The dependencies and settings of an {@link OrderSender}. */
export interface OrderSenderDependencies {
  readonly self: InstanceId
  readonly engineClient: EngineClient
  readonly clock: Clock
  readonly log: Log
  readonly orderTimeoutMs: Millis
  /** Handles a refusal in which an engine asks this instance to send nothing for a time. */
  onPause(endpoint: EndpointId, ms: Millis): void
  /** Returns the fencing token for an order, or undefined if this instance may not send orders to the engine now. */
  getToken(): number | undefined
}

/** The action of an order and the model, adapter and version that it applies to. */
export type OrderBody = Pick<EngineOrder, "action" | "model" | "adapter" | "version">

/** The engine's answer to an order; `unresolved` if none was received, `no-authority` if the order was not sent; `paused` if the engine refused it and wants nothing for a time. */
export type OrderSendResult = OrderAnswer | "unresolved" | "no-authority" | "paused"

const ADAPTER_SEPARATOR = "/"

/** Sends orders to one engine, each with the fencing token that is valid at that time. */
export class OrderSender {
  /** Whether an order may have been accepted that this sender doesn't count. */
  private isUncertain = true

  constructor(
    private readonly engine: Registration,
    private readonly deps: OrderSenderDependencies,
  ) {}

  /** Sends an order. The engine refuses it unless it has accepted exactly `expectedSequence` orders. Never throws. */
  async send(body: OrderBody, expectedSequence: number): Promise<OrderSendResult> {
    const { engineClient, self, orderTimeoutMs, log } = this.deps
    const fencingToken = this.deps.getToken()
    if (fencingToken === undefined) return "no-authority"
    const connection = this.chooseConnection(body)
    const order = { ...body, expectedSequence, holder: self, fencingToken, connection }
    try {
      const answer = await engineClient.order(this.engine, order, orderTimeoutMs)
      if (connection === "own") this.isUncertain = false
      this.logAnswer(order, answer)
      return answer
    } catch (error) {
      if (error instanceof EndpointPausedError) {
        this.deps.onPause(this.engine.id, error.retryAfterMs)
        return "paused"
      }
      this.isUncertain = true
      log.info({ endpoint: this.engine.id, err: error }, "no answer to order")
      return "unresolved"
    }
  }

  /**
   * Chooses the connection of an order. A misread answer to the load of an adapter takes
   * a place at most, and the expected sequence of the next order shows it; but only
   * while every order is counted. An unload makes a place free.
   */
  private chooseConnection({ action, adapter }: OrderBody): OrderConnection {
    const isLoad = action === "load" && adapter !== undefined
    return isLoad && !this.isUncertain ? "shared" : "own"
  }

  private logAnswer(order: EngineOrder, answer: OrderAnswer): void {
    const { action, adapter, version, expectedSequence, fencingToken: fence } = order
    const fields = { endpoint: this.engine.id, action, adapter, version, expectedSequence, fence }
    const isOrdinary = answer === "accepted" || answer === "already-done"
    this.deps.log[isOrdinary ? "debug" : "info"]({ ...fields, answer }, "order answered")
  }
}

/** Builds the order to load an adapter; an undefined version or version 0 loads the newest one. */
export function buildLoadOrder(
  adapter: AdapterName,
  version: AdapterVersion | undefined,
): OrderBody {
  const names = splitAdapter(adapter)
  return version !== undefined && version > 0
    ? { action: "load", ...names, version }
    : { action: "load", ...names }
}

/** Builds the order to unload an adapter. */
export function buildUnloadOrder(adapter: AdapterName): OrderBody {
  return { action: "unload", ...splitAdapter(adapter) }
}

/** Splits `base/adapter` into the names of the base model and the adapter. */
function splitAdapter(name: AdapterName): { model: string; adapter: string } {
  const at = name.indexOf(ADAPTER_SEPARATOR)
  return { model: name.slice(0, at), adapter: name.slice(at + 1) }
}
