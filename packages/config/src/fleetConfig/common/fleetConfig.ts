/** The configuration in force on a node, and the service that keeps it current. */
import type { Event } from '@parsleymux/base';
import type { MemberConfig } from '@parsleymux/schema';

/** Every member's configuration at one instant. */
export interface IFleetConfig {
  /** The highest revision that is applied. It never falls while the process lives. */
  readonly fleetRevision: number;
  readonly members: ReadonlyMap<string, MemberConfig>;
}

/** Tells which members' configurations a change replaced. */
export interface IFleetConfigChange {
  readonly config: IFleetConfig;
  readonly members: readonly string[];
}

/** Where components read the configuration. */
export abstract class ConfigService {
  abstract readonly onDidChange: Event<IFleetConfigChange>;

  /** What is applied on this node; it is replaced as a whole and never changed in place. */
  abstract getCurrent(): IFleetConfig;
}
