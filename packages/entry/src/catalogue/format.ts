import type {
  AdapterName,
  AdapterVersion,
  Registration,
  ServingConfiguration,
  StoreItem,
} from "@galenaway/core"

/** A decoded item that an operator wrote. A `foreign` item has an unknown key or format and is skipped. */
export type OperatorEntry =
  | { readonly kind: "configuration"; readonly configuration: ServingConfiguration }
  | {
      readonly kind: "adapter-version"
      readonly adapter: AdapterName
      readonly version: AdapterVersion
    }
  | { readonly kind: "foreign"; readonly reason: string }

/** A decoded item that an endpoint wrote. A `foreign` item has an unknown format and is skipped. */
export type RegistrationEntry =
  | { readonly kind: "registration"; readonly registration: Registration }
  | { readonly kind: "foreign"; readonly reason: string }

/** The store prefixes under which operators and endpoints write, and decoders for their items. The decoders return `foreign` instead of throwing. */
export interface CatalogueFormat {
  readonly operatorPrefix: string
  readonly registrationPrefix: string
  readOperatorItem(item: StoreItem): OperatorEntry
  readRegistration(item: StoreItem): RegistrationEntry
}
