export { createOwner } from "./create-owner.js"
export * from "./document.js"
export * from "./format.js"
export * from "./member.js"
export {
  addMember,
  createDocument,
  removeMember,
  removePredecessors,
  setMemberPhase,
  type ResolvedPredecessor,
} from "./membership.js"
export * from "./owner.js"
export * from "./ownership.js"
export { createMember, updateMember } from "./update-member.js"
export { canGrant, isPinned, updateOwner } from "./update-owner.js"
export * from "./leased/index.js"
