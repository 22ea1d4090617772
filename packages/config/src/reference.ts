import { z } from "zod"
import { SETTING_SCOPES } from "./check.js"
import { listSettings } from "./resolve.js"
import {
  CONFIGURATION_SCHEMA,
  DEFAULT_CONFIGURATION,
  type ExceptionMatch,
  type FleetSettings,
} from "./schema.js"

/** The documentation of one setting. */
export interface SettingReference {
  readonly path: string
  readonly description: string
  readonly allowed: string
  /** The built-in default. */
  readonly fallback: number
  /** The match fields by which an exception may change the setting; empty if only `defaults` may. */
  readonly scope: readonly (keyof ExceptionMatch)[]
}

type JsonSchema = z.core.JSONSchema.BaseSchema

/** Lists every setting of the defaults, in the order of the schema. */
export function listSettingReferences(): SettingReference[] {
  const document = z.toJSONSchema(CONFIGURATION_SCHEMA, { io: "input" })
  const defaults = findProperty(document, "defaults")
  return listSettings(DEFAULT_CONFIGURATION.defaults).map(([path, fallback]) => {
    const [group = "", name] = path.split(".")
    const groupSchema = findProperty(defaults, group)
    const settingSchema = name === undefined ? groupSchema : findProperty(groupSchema, name)
    return {
      path,
      description: settingSchema.description ?? groupSchema.description ?? "",
      allowed: String(settingSchema.allowed),
      fallback,
      scope: SETTING_SCOPES[group as keyof FleetSettings],
    }
  })
}

function findProperty(schema: JsonSchema, name: string): JsonSchema {
  const found = schema.properties?.[name]
  if (typeof found === "object") return found
  throw new Error(`the configuration schema has no property ${name}`)
}
