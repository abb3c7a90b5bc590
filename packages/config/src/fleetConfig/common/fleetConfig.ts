/** The configuration in force on a node and the service that updates it. */
import type { Event } from '@parsleymux/base';
import type { MemberConfig } from '@parsleymux/schema';

/** Every member's configuration at one instant. */
export interface IFleetConfig {
  /** The highest applied revision. It never decreases during the lifetime of the process. */
  readonly fleetRevision: number;
  readonly members: ReadonlyMap<string, MemberConfig>;
}

/** A change of the configuration. */
export interface IFleetConfigChange {
  readonly config: IFleetConfig;
  /** Members whose configuration was replaced. */
  readonly members: readonly string[];
}

/** Provides the configuration to the components of a node. */
export abstract class ConfigService {
  abstract readonly onDidChange: Event<IFleetConfigChange>;

  /** Returns the applied configuration. It is replaced as a whole and never modified in place. */
  abstract getCurrent(): IFleetConfig;
}
