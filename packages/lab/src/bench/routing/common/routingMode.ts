/** The ways to route that are compared: by one home, by a home in each failure domain, directly. */
import type { RandomSource } from '@parsleymux/base';
import type { LocalHomeService } from '@parsleymux/routing';

/** Names of the ways. */
export const ROUTING_MODES = ['one home', 'home per domain', 'direct'] as const;

export type RoutingMode = (typeof ROUTING_MODES)[number];

/** A home and where it is. */
export interface IPlacedHome {
  readonly home: LocalHomeService;
  readonly failureDomain: string;
  /** Slots of the targets that it serves. */
  readonly slots: number;
}

/** A node that takes callers' requests. */
export interface IEntry {
  readonly failureDomain: string;
  /** Share of its slots that each home last reported as free; negative when requests wait. */
  readonly spareShares: ReadonlyMap<IPlacedHome, number>;
}

/** A way from an entry to a home. */
export interface IHomeChoice {
  readonly placed: IPlacedHome;
  /** One way from entry to home, in ms; 0 when they are one. */
  readonly hopMs: number;
}

/** What the choice is made from. */
export interface IHomeChoiceOptions {
  readonly mode: RoutingMode;
  readonly homes: readonly IPlacedHome[];
  readonly entry: IEntry;
  readonly nearMs: number;
  readonly farMs: number;
  readonly random: RandomSource;
}

/** Time that a hop between nodes takes beyond the network, one way, in ms. */
const HOP_PROCESSING_MS = 0.15;

/** Chooses the home for one request. */
export function chooseHome(options: IHomeChoiceOptions): IHomeChoice {
  const { mode, homes, random } = options;
  const placed =
    mode === 'home per domain' ? chooseBySpareSlots(options) : pickRandom(homes, random);
  if (mode === 'direct') return { placed, hopMs: 0 };
  const isNear = placed.failureDomain === options.entry.failureDomain;
  const networkMs = isNear ? options.nearMs : options.farMs;
  return { placed, hopMs: networkMs + HOP_PROCESSING_MS };
}

/** The entry's own domain while it has room, else the better of two others. */
function chooseBySpareSlots(options: IHomeChoiceOptions): IPlacedHome {
  const { homes, entry, random } = options;
  const getSpareShare = (placed: IPlacedHome) => entry.spareShares.get(placed) ?? 1;
  const own = homes.find((placed) => placed.failureDomain === entry.failureDomain);
  if (own !== undefined && getSpareShare(own) > 0) return own;
  const first = pickRandom(homes, random);
  const second = pickRandom(homes, random);
  return getSpareShare(first) >= getSpareShare(second) ? first : second;
}

function pickRandom(homes: readonly IPlacedHome[], random: RandomSource): IPlacedHome {
  const placed = homes[random.getInteger(homes.length)];
  if (placed === undefined) throw new Error('there is no home');
  return placed;
}
