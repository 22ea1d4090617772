import type { MemberEvent, MemberReply, OwnerEffect, OwnerEvent } from "@galenaway/coordination"
import { ENDPOINT } from "./protocol.js"

/** A message in flight, or an order that its owner has decided or sent. */
export type Message =
  | {
      readonly kind: "member"
      readonly from: string
      readonly to: string
      readonly event: MemberEvent
    }
  | {
      readonly kind: "owner"
      readonly from: string
      readonly to: string
      readonly event: OwnerEvent
    }
  /** A witness's reply to a seal request: the adapter may be used without the owner. */
  | { readonly kind: "use"; readonly from: string; readonly to: string; readonly epoch: number }
  | {
      readonly kind: "order"
      readonly from: string
      readonly to: "endpoint"
      readonly order: EndpointOrder
      readonly isSent: boolean
    }
/** An order to the endpoint. */
export type EndpointOrder = Extract<OwnerEffect, { kind: "unload" | "fence" }>

/** Creates the message for an owner's effect, undefined if the effect sends none. */
export function createMessage(from: string, effect: OwnerEffect): Message | undefined {
  if (effect.kind === "unload" || effect.kind === "fence")
    return { kind: "order", from, to: "endpoint", order: effect, isSent: false }
  const event = createMemberEvent(effect)
  return event && "to" in effect ? { kind: "member", from, to: effect.to, event } : undefined
}

function createMemberEvent(effect: OwnerEffect): MemberEvent | undefined {
  const endpoint = ENDPOINT
  switch (effect.kind) {
    case "ask-holdings":
      return { ...effect, kind: "holdings-asked", endpoint }
    case "announce":
      return { ...effect, kind: "eviction-announced", endpoint }
    case "settle":
      return { ...effect, kind: "eviction-settled", endpoint }
    case "brief-witness":
      return { ...effect, kind: "witness-briefed", endpoint }
    default:
      return undefined
  }
}

/** Formats the label by which a step can select the message. */
export function describeMessage(message: Message): string {
  const kind =
    message.kind === "order"
      ? message.order.kind
      : message.kind === "use"
        ? "use"
        : message.event.kind
  return `${kind} ${message.from}>${message.to}`
}

/** Returns whether a message arrives at most once, because it is the reply to a call. */
export function isDeliveredOnce(message: Message): boolean {
  return (
    message.kind === "use" || (message.kind === "member" && message.event.kind === "grant-arrived")
  )
}

/** Returns whether the message is an unload order that the owner has decided but not sent. */
export function isUnsentUnload(message: Message, owner: string): boolean {
  if (message.kind !== "order" || message.from !== owner) return false
  return message.order.kind === "unload" && !message.isSent
}

/** Creates the owner event for a member's reply, undefined if the owner receives none. */
export function createReplyEvent(
  witness: string,
  event: MemberEvent,
  reply: MemberReply,
): OwnerEvent | undefined {
  if (reply.kind === "holdings") return { ...reply, kind: "holdings-reported", member: witness }
  if (event.kind === "grant-arrived" && reply.kind === "refused")
    return { kind: "grant-returned", grant: event.grant.id }
  if (event.kind === "witness-briefed" && reply.kind === "accepted")
    return { kind: "witness-briefed", witness, epoch: event.epoch }
  if (event.kind !== "eviction-announced") return undefined
  return reply.kind === "refused"
    ? { ...event, kind: "announcement-refused", minimumEpoch: reply.minimumEpoch }
    : { ...event, kind: "acknowledged", witness }
}
