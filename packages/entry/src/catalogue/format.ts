import type {
  AdapterName,
  AdapterVersion,
  Registration,
  ServingConfiguration,
  StoreItem,
} from "@galenaway/core"

/** An item of the operators' as it was decoded. A `foreign` one is skipped; the others hold. */
export type OperatorEntry =
  | { readonly kind: "configuration"; readonly configuration: ServingConfiguration }
  | {
      readonly kind: "adapter-version"
      readonly adapter: AdapterName
      readonly version: AdapterVersion
    }
  | { readonly kind: "foreign"; readonly reason: string }

/** An endpoint's item as it was decoded. */
export type RegistrationEntry =
  | { readonly kind: "registration"; readonly registration: Registration }
  | { readonly kind: "foreign"; readonly reason: string }

/** Where operators and endpoints write in the store, and how their items are read. */
export interface CatalogueFormat {
  readonly operatorPrefix: string
  readonly registrationPrefix: string
  readOperatorItem(item: StoreItem): OperatorEntry
  readRegistration(item: StoreItem): RegistrationEntry
}
