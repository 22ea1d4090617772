import { printDocuments } from "./capacity-documents.js"
import { printMemory } from "./capacity-memory.js"
import { printPlatformCalls } from "./capacity-platform.js"

/** Measures the slopes of state, documents and platform calls. `messages.js` measures those between instances. */
await printMemory()
printDocuments()
await printPlatformCalls()
