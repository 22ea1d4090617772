import { readFileSync, writeFileSync } from "node:fs"
import { join } from "node:path"
import { format, resolveConfig } from "prettier"
import {
  checkConfiguration,
  DRAIN_LIMIT,
  EXCEPTION_LIMIT,
  HISTORY_LIMIT,
  listSettingReferences,
  MATCH_FIELDS,
} from "@galenaway/config"
import { root } from "./prepare.mjs"

/**
 * Generates docs/CONFIGURATION.md from the schema. With --check it writes
 * nothing, and exits with 1 when the page differs from the generated one.
 */
const path = join(root, "docs/CONFIGURATION.md")
const example = {
  revision: 7,
  defaults: { floors: { urgent: 0.5, standard: 0.2, bulk: 0.1 }, loads: { burst: 3 } },
  exceptions: [
    {
      match: { adapter: "iloilo-sst", rank: "urgent" },
      set: { targetMs: { urgent: 1000 } },
      reason: "skippers ask while they load ice",
      author: "maria",
      date: "2026-01-31",
    },
  ],
  drains: [
    {
      kind: "endpoint",
      id: "engine-3",
      reason: "its card is replaced",
      author: "rafael",
      date: "2026-02-02",
    },
  ],
}
checkConfiguration(example)
const options = await resolveConfig(path)
const page = await format(buildPage(), { ...options, parser: "markdown" })
if (!process.argv.includes("--check")) writeFileSync(path, page)
else if (readFileSync(path, "utf8") !== page) {
  console.error("docs/CONFIGURATION.md is out of date: run node scripts/configuration-docs.mjs")
  process.exit(1)
}

function buildPage() {
  return `# Configuration

This page is generated from the schema by \`node scripts/configuration-docs.mjs\`.

The configuration is one JSON document for the whole fleet: \`defaults\`, a short list of \`exceptions\`, and \`drains\`. What it leaves out has the built-in default. \`galenaway config get\` prints the one in force, \`galenaway config apply FILE\` puts an edited one in force.

\`\`\`json
${JSON.stringify(example, undefined, 2)}
\`\`\`

## Settings

Durations are whole milliseconds, shares go from 0 to 1. A setting may be changed by exceptions with the match fields of the last column only.

| setting | meaning | allowed | built-in default | exceptions by |
| --- | --- | --- | --- | --- |
${listSettingReferences().map(formatRow).join("\n")}

## Settings of an entry instance

Not part of the document: each instance on the users' platform reads them from flags, environment variables and the file of \`deploy/entry.settings\`; \`--help\` lists all. Those about the instance's own processor and its data centre are:

| setting | meaning | default |
| --- | --- | --- |
| \`--cores\` (\`GALENAWAY_CORES\`) | Speed of the instance's processor, compared to the usual one. With 0 the instance doesn't measure its own delay. | 0 |
| \`--cpu-share\` (\`GALENAWAY_CPU_SHARE\`) | Share of the processor that the instance may use. | 1 |
| \`--transfer-ms\` (\`GALENAWAY_TRANSFER_MS\`) | Price of a request's bytes between data centres, as an added wait in ms. With 0 the engines of all data centres are chosen by load and distance only. | 0 |

Instances of the users' platform have three settings for the quotas of client accounts, which limit the use of an account in any window to (rate x window + burst) x (1 + excess) + slack: \`--quota-window-s\` (8), \`--quota-excess\` (0.1) and \`--quota-slack\` in tokens (0). \`deploy/entry.settings\` takes them from the platform's bounds; an empty value is the default. The rate and the burst of an account are in the platform's configuration (\`tenants\`).

## Limits on callers

Two settings of a process (not of the fleet) determine what its callers can make it hold; \`deploy/entry.settings\` takes them from the platform's \`limits.memory_mb\` and \`limits.max_fds\`.

| setting               | default            | determines                                                                                                |
| --------------------- | ------------------ | --------------------------------------------------------------------------------------------------------- |
| \`GALENAWAY_MEMORY_MB\` | 1024               | the budget: 0.3 of what is above 150 MB, at least 8 MB; half of that in \`galenawayd\`, which copies bodies |
| \`GALENAWAY_MAX_FDS\`   | the system's limit | the connections of callers: 0.75 of what is above 200, at least 16                                        |

The other limits are constants. No caller that stays within \`limits\` of the platform's configuration and waits for its answers reaches them.

| limit                                                                   | value                                          |
| ----------------------------------------------------------------------- | ---------------------------------------------- |
| time for a whole body                                                   | the deadline of the request; \`galenawayd\` 30 s |
| bytes that arrive without becoming a request                            | 64 KB                                          |
| time for a head                                                         | \`header_timeout_ms\` and 1 s                    |
| requests on one connection that wait for an answer; they run one by one | 32                                             |
| time between a refusal of a body and the close of the connection        | 1 s                                            |
| part of the budget for bodies and answers above 64 KB                   | 7/8                                            |
| time without progress (4 KB) after which a body or answer can be ended  | 1 s, only when its bytes are needed            |
| bytes that one slow caller may be behind before its endpoint is slowed  | 256 KB                                         |

## Exceptions

At most ${EXCEPTION_LIMIT}. Each has a \`match\`, a \`set\` with some of the settings, a \`reason\`, an \`author\` and a \`date\`. An exception holds where every field of its match is equal. Where several hold, the one with the strongest field decides, and among equals the next field; from strong to weak: ${[...MATCH_FIELDS].reverse().join(", ")}. \`galenaway explain MODEL --rank RANK\` shows which default or exception decides each setting.

## Drains

At most ${DRAIN_LIMIT}. Each names an \`endpoint\` or \`instance\` by \`kind\` and \`id\`, with \`reason\`, \`author\` and \`date\`. \`galenaway drain\` and \`galenaway undrain\` edit the list.

## What is refused

- A key that doesn't exist, a value of another type or unit, a value outside its bounds.
- Floors whose sum is above 1, in the defaults or wherever exceptions apply.
- A \`targetMs\` or \`deadlineMs\` that is not urgent <= standard <= bulk, or a target above its deadline, in the defaults or wherever exceptions apply.
- An exception without a match or a setting, one for an endpoint or data centre that doesn't exist, one that sets what its match can't change, and two exceptions with the same match.
- A drain of an endpoint that doesn't exist, and two drains of the same one.

Each refusal names the path, the value and what is allowed. Nothing is changed then.

## Revisions

The document is stored under the key \`galenaway/configuration\` of the platform's service with its own revision, which grows by one with each change, and the last ${HISTORY_LIMIT} changes (fewer when they are large). A change is refused when \`revision\` is not the current one. No instance puts a lower revision in force than the one it has. An instance that starts while neither the platform's service nor a peer answers serves under the built-in defaults, and says so in its status, until one of them answers.
`
}

function formatRow({ path, description, allowed, fallback, scope }) {
  const by = scope.length === 0 ? "none" : scope.join(", ")
  return `| \`${path}\` | ${description} | ${allowed} | ${fallback} | ${by} |`
}
