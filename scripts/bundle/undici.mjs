// The part of undici that entry instances use. Its fetch, WebSocket and cache
// would take a quarter of a process's start.
import api from "../../node_modules/undici/lib/api/index.js"
import Agent from "../../node_modules/undici/lib/dispatcher/agent.js"
import Dispatcher from "../../node_modules/undici/lib/dispatcher/dispatcher.js"
import Pool from "../../node_modules/undici/lib/dispatcher/pool.js"
import buildConnector from "../../node_modules/undici/lib/core/connect.js"

// As the package's own index does.
Object.assign(Dispatcher.prototype, api)

export { Agent, buildConnector, Pool }
