import { Command, CommanderError } from "commander"
import { describeError } from "@galenaway/core"
import { runAccounts } from "./commands/accounts.js"
import { type ChangeOptions, runConfigApply } from "./commands/apply.js"
import { runConfigDiff, runConfigGet, runConfigHistory } from "./commands/config.js"
import { runDrain } from "./commands/drain.js"
import { runExplain } from "./commands/explain.js"
import { runExplainRequest } from "./commands/explain-request.js"
import { runQuarantineList, runQuarantineRelease } from "./commands/quarantine.js"
import { runStatus } from "./commands/status.js"
import { runTimeline } from "./commands/timeline.js"
import { type CommandContext, createContext } from "./context.js"
import { CommandError, EXIT_CODE_HELP, EXIT_CODES } from "./exit.js"
import type { Shell } from "./shell.js"

const DEFAULT_WAIT_SECONDS = "10"

/** Runs the tool once and returns its exit code. Errors are printed and never thrown. */
export async function runCli(argv: readonly string[], shell: Shell): Promise<number> {
  try {
    await createProgram(shell).parseAsync([...argv], { from: "user" })
    return EXIT_CODES.done
  } catch (error) {
    if (error instanceof CommanderError)
      return error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.refused
    shell.printError(`galenaway: ${describeError(error)}\n`)
    return error instanceof CommandError ? EXIT_CODES[error.reason] : EXIT_CODES.failed
  }
}

function createProgram(shell: Shell): Command {
  const program = new Command("galenaway")
    .description("Shows the state of a galenaway fleet and changes its configuration.")
    .option("--urls <list>", "operators' URLs, separated by commas (env GALENAWAY_OPERATOR_URLS)")
    .option("--key <secret>", "operators' key; prefer env GALENAWAY_OPERATOR_KEY")
    .option("--json", "print JSON for other programs")
    .configureHelp({ showGlobalOptions: true })
    .configureOutput({
      writeOut: (text) => {
        shell.print(text)
      },
      writeErr: (text) => {
        shell.printError(text)
      },
    })
    .exitOverride()
    .addHelpText("after", EXIT_CODE_HELP)
  addReadCommands(program, shell)
  addConfigCommands(program, shell)
  addDrainCommands(program, shell)
  addQuarantineCommands(program, shell)
  return program
}

function addReadCommands(program: Command, shell: Shell): void {
  program
    .command("status")
    .description("instances, owners, endpoints, adapters by heat, and what is degraded and why")
    .action(createAction(shell, (context) => runStatus(context)))
  program
    .command("accounts")
    .description(
      "client accounts and their requests; --urls has metrics addresses of entry instances",
    )
    .action(createAction(shell, (context) => runAccounts(context)))
  program
    .command("explain")
    .description("where requests for a model go, and which default or exception decides")
    .argument("<model>", "base/adapter@version")
    .option("--rank <rank>", "urgent, standard or bulk", "standard")
    .action(
      createAction(shell, (context, [model], { rank }) =>
        runExplain(context, model ?? "", rank ?? ""),
      ),
    )
  program
    .command("explain-request")
    .description(
      "where a request would go now from an entry instance, and why, without sending it; --urls has its metrics address",
    )
    .argument("<path>", "path of the request")
    .requiredOption("--host <name>", "host of the request")
    .option("--model <name>", "model, or model/adapter; none for a plain call")
    .option("--prompt <tokens>", "number of prompt tokens")
    .option("--output <tokens>", "maximum number of output tokens")
    .option("--hint <tokens>", "the caller's estimate of the output tokens")
    .option("--account <name>", "client account")
    .action(
      createAction(shell, (context, [path], options) =>
        runExplainRequest(context, path ?? "", options),
      ),
    )
  program
    .command("timeline")
    .description("events of all instances whose URLs are given, in causal order")
    .option("--request <id>", "only this request")
    .option("--adapter <key>", "only this adapter, base/adapter@version")
    .option("--endpoint <id>", "only this endpoint")
    .option("--since <time>", "only events of the last 30s, 10m or 2h, or since an ISO 8601 time")
    .option("--html <file>", "write the events to an HTML page")
    .action(createAction(shell, (context, _, options) => runTimeline(context, options)))
}

function addConfigCommands(program: Command, shell: Shell): void {
  const config = program.command("config").description("the configuration: defaults and exceptions")
  config
    .command("get")
    .description("print the configuration in force as JSON, ready to be edited")
    .action(createAction(shell, (context) => runConfigGet(context)))
  config
    .command("diff")
    .description("show where a file differs from the configuration in force")
    .argument("<file>", "edited configuration, - for the standard input")
    .action(createAction(shell, (context, [file]) => runConfigDiff(context, file ?? "")))
  const apply = config
    .command("apply")
    .description("check a file, show the difference, apply it and wait until it is in force")
    .argument("<file>", "edited configuration, - for the standard input")
    .option("-y, --yes", "don't ask for confirmation")
  addChangeOptions(apply).action(
    createAction(shell, (context, [file], options) =>
      runConfigApply(context, file ?? "", readChangeOptions(options)),
    ),
  )
  config
    .command("history")
    .description("the last changes, newest first")
    .action(createAction(shell, (context) => runConfigHistory(context)))
}

function addDrainCommands(program: Command, shell: Shell): void {
  const descriptions = {
    drain: "assign no new work to an endpoint or instance; its running work ends as usual",
    undrain: "assign new work to a drained endpoint or instance again",
  } as const
  for (const action of ["drain", "undrain"] as const) {
    const command = program
      .command(action)
      .description(descriptions[action])
      .argument("<kind>", "endpoint or instance")
      .argument("<id>", "id of the endpoint or instance")
    addChangeOptions(command).action(
      createAction(shell, (context, [kind, id], options) =>
        runDrain(context, action, kind ?? "", id ?? "", readChangeOptions(options)),
      ),
    )
  }
}

function addQuarantineCommands(program: Command, shell: Shell): void {
  const quarantine = program
    .command("quarantine")
    .description("prompt parts that end engines; --urls has metrics addresses of entry instances")
  quarantine
    .command("list")
    .description("the parts that are held back, and those that are suspected")
    .action(createAction(shell, (context) => runQuarantineList(context)))
  const release = quarantine
    .command("release")
    .description("let requests with a part through again, on all instances")
    .argument("<part>", "id of the part")
  addChangeOptions(release).action(
    createAction(shell, (context, [part], options) =>
      runQuarantineRelease(context, part ?? "", readChangeOptions(options)),
    ),
  )
}

function addChangeOptions(command: Command): Command {
  return command
    .option(
      "--reason <text>",
      "reason for the change, and for new exceptions and drains without one",
    )
    .option("--author <name>", "author of the change (env GALENAWAY_AUTHOR, else USER)")
    .option("--wait <seconds>", "time to wait until the change is in force", DEFAULT_WAIT_SECONDS)
}

function readChangeOptions(options: Readonly<Record<string, string>>): ChangeOptions {
  return { wait: DEFAULT_WAIT_SECONDS, ...options }
}

type CommandHandler = (
  context: CommandContext,
  args: readonly string[],
  options: Readonly<Record<string, string>>,
) => Promise<void>

/**
 * Creates a commander action that calls the handler with the command's context,
 * arguments and options.
 */
function createAction(shell: Shell, handler: CommandHandler) {
  return async (...actionArgs: unknown[]): Promise<void> => {
    const command = actionArgs.at(-1) as Command
    await handler(createContext(command, shell), command.args, command.opts())
  }
}
