import { Command, CommanderError } from "commander"
import { describeError } from "@galenaway/core"
import { type ChangeOptions, runConfigApply } from "./commands/apply.js"
import { runConfigDiff, runConfigGet, runConfigHistory } from "./commands/config.js"
import { runDrain } from "./commands/drain.js"
import { runExplain } from "./commands/explain.js"
import { runStatus } from "./commands/status.js"
import { runTimeline } from "./commands/timeline.js"
import { type CommandContext, createContext } from "./context.js"
import { CommandError, EXIT_CODE_HELP, EXIT_CODES } from "./exit.js"
import type { Shell } from "./shell.js"

const DEFAULT_WAIT_SECONDS = "10"

/** Runs the tool once. Returns its exit code; it never throws. */
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
    .description("Shows and changes what a galenaway fleet does.")
    .option("--urls <list>", "operators' URLs, separated by commas (env GALENAWAY_OPERATOR_URLS)")
    .option("--key <secret>", "operators' key; better left to env GALENAWAY_OPERATOR_KEY")
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
  return program
}

function addReadCommands(program: Command, shell: Shell): void {
  program
    .command("status")
    .description("instances, owners, endpoints, adapters by heat, and what is degraded and why")
    .action(createAction(shell, (context) => runStatus(context)))
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
    .command("timeline")
    .description("events of all instances whose URLs are given, in one order that respects causes")
    .option("--request <id>", "only this request")
    .option("--adapter <key>", "only this adapter, base/adapter@version")
    .option("--endpoint <id>", "only this endpoint")
    .option("--since <time>", "only from then on: 30s, 10m, 2h ago, or an ISO 8601 time")
    .option("--html <file>", "write a page for a browser")
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
    .description("check a file, show the difference, put it in force and wait until it is")
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
  const texts = {
    drain: "give an endpoint or instance no new work; its running work ends as usual",
    undrain: "give a drained endpoint or instance new work again",
  } as const
  for (const action of ["drain", "undrain"] as const) {
    const command = program
      .command(action)
      .description(texts[action])
      .argument("<kind>", "endpoint or instance")
      .argument("<id>", "its name")
    addChangeOptions(command).action(
      createAction(shell, (context, [kind, id], options) =>
        runDrain(context, action, kind ?? "", id ?? "", readChangeOptions(options)),
      ),
    )
  }
}

function addChangeOptions(command: Command): Command {
  return command
    .option("--reason <text>", "why; also for new exceptions and drains that give none")
    .option("--author <name>", "who (env GALENAWAY_AUTHOR, else USER)")
    .option("--wait <seconds>", "how long to wait until it is in force", DEFAULT_WAIT_SECONDS)
}

function readChangeOptions(options: Readonly<Record<string, string>>): ChangeOptions {
  return { wait: DEFAULT_WAIT_SECONDS, ...options }
}

type CommandHandler = (
  context: CommandContext,
  args: readonly string[],
  options: Readonly<Record<string, string>>,
) => Promise<void>

/** Gives a command's function its context, arguments and options. */
function createAction(shell: Shell, run: CommandHandler) {
  return async (...given: unknown[]): Promise<void> => {
    const command = given.at(-1) as Command
    await run(createContext(command, shell), command.args, command.opts())
  }
}
