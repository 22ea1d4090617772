export * from "./document.js"
export * from "./member.js"
export * from "./owner.js"
