// Exports the part of undici that entry instances use. Loading its fetch,
// WebSocket and cache would take a quarter of the start time of a process.
import api from "../../node_modules/undici/lib/api/index.js"
import Agent from "../../node_modules/undici/lib/dispatcher/agent.js"
import Dispatcher from "../../node_modules/undici/lib/dispatcher/dispatcher.js"
import Pool from "../../node_modules/undici/lib/dispatcher/pool.js"
import buildConnector from "../../node_modules/undici/lib/core/connect.js"

// The package's own index adds these methods to all dispatchers too.
Object.assign(Dispatcher.prototype, api)

export { Agent, buildConnector, Pool }
