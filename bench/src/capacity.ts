import { printDocuments } from "./capacity-documents.js"
import { printMemory } from "./capacity-memory.js"
import { printPlatformCalls } from "./capacity-platform.js"

/**
 * Measures how memory, documents and platform calls grow with the fleet.
 * `messages.js` measures the messages between instances.
 */
await printMemory()
printDocuments()
await printPlatformCalls()
