import type { App } from "@tinyhttp/app"
import { z } from "zod"
import type { ExplainRequestQuery, ExplainRequestReply } from "./explain-request.js"

const TOKENS = z.coerce.number().min(0)
const QUERY_SCHEMA = z.object({
  host: z.string().min(1),
  path: z.string().startsWith("/"),
  model: z.string().min(1).optional(),
  adapter: z.string().min(1).optional(),
  prompt_tokens: TOKENS.default(0),
  output_tokens: TOKENS.default(0),
  length_hint: TOKENS.optional(),
  account: z.string().min(1).optional(),
})
const BAD_REQUEST_STATUS = 400

/** Registers the operators' interface that explains where a request would go: `GET /v1/explain-request`. */
export function registerExplainRoutes(
  app: App,
  explain: (query: ExplainRequestQuery) => ExplainRequestReply,
): void {
  app.get("/v1/explain-request", (request, response) => {
    const query = QUERY_SCHEMA.safeParse(request.query)
    if (query.success) {
      response.json(explain(formatQuery(query.data)))
      return
    }
    const message = "a request has a host, a path and, for a model, its name and numbers of tokens"
    const error = { code: "bad-request", step: "operate", outcome: "not-run", message }
    response.status(BAD_REQUEST_STATUS).json({ error })
  })
}

function formatQuery({
  host,
  path,
  model,
  adapter,
  prompt_tokens: promptTokens,
  output_tokens: outputTokens,
  length_hint: lengthHint,
  account,
}: z.infer<typeof QUERY_SCHEMA>): ExplainRequestQuery {
  return {
    host,
    path,
    promptTokens,
    outputTokens,
    ...(model !== undefined && { model }),
    ...(adapter !== undefined && { adapter }),
    ...(lengthHint !== undefined && { lengthHint }),
    ...(account !== undefined && { account }),
  }
}
