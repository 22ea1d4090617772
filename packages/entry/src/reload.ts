import type { Log } from "@galenaway/observe"
import type { EntrySettings } from "./settings.js"

/**
 * Reads the settings again and logs which have changed; they take effect after a
 * restart. Settings that can't be read are logged, and those in force stay: an
 * invalid file must not end a running instance.
 */
export function reloadSettings(
  log: Log,
  current: EntrySettings,
  readSettings: () => EntrySettings,
): void {
  try {
    const changed = listChanges(current, readSettings())
    log.info({ changed: changed.join(",") }, "settings reloaded")
  } catch (error) {
    log.error({ err: error }, "settings not reloaded, those in force stay")
  }
}

function listChanges(current: EntrySettings, next: EntrySettings): readonly string[] {
  return Object.keys(next).filter((name) => {
    const key = name as keyof EntrySettings
    return String(next[key]) !== String(current[key])
  })
}
