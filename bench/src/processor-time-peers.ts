import { type EntrySettings, startEntryInstance } from "@galenaway/entry"
import { createPlatformPorts } from "@galenaway/platform"

/** The instances beside the measured one. They share this process, so that a large fleet needs few processes. */
const instances = JSON.parse(process.argv[2] ?? "[]") as readonly EntrySettings[]

process.setMaxListeners(0)
for (const settings of instances)
  await startEntryInstance(settings, createPlatformPorts(settings.store))
process.stdout.write(`ready instances=${instances.length}\n`)
