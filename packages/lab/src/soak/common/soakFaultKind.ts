/** Kinds of faults that the soak injects. */
export const SoakFaultKind = {
  NodeKill: 'node-kill',
  NodePause: 'node-pause',
  NodeTerminate: 'node-terminate',
  NodeReload: 'node-reload',
  NodeBadSettings: 'node-bad-settings',
  StoreFault: 'store-fault',
  StoreCompaction: 'store-compaction',
  StoreLink: 'store-link',
  TargetFault: 'target-fault',
  TargetLink: 'target-link',
  TargetDrain: 'target-drain',
  TargetCrash: 'target-crash',
  TargetReuse: 'target-reuse',
  /** A target crashes and starts again under its identifier, at another address. */
  TargetRestart: 'target-restart-same-id',
  /** Another writer overwrites a target's entry. */
  ForeignEntry: 'foreign-entry',
  ConfigChange: 'config-change',
  ConfigStorm: 'config-storm',
  /** A caller repeats a request that crashes the targets that run it. */
  CrashingRequest: 'crashing-request',
  /** A target announces in its responses that it is draining, while its entry is unchanged. */
  TargetAnnouncesDrain: 'target-tells-drain',
  /** A target advertises in its responses a limit of requests per second. */
  TargetAdvertisesLimit: 'target-names-limit',
  /** The store is restored from an older copy; writers repeat what they wrote since. */
  StoreRestore: 'store-restore',
  /** Nodes lose their path to all targets, while callers, peers and the store reach them. */
  NodePathLoss: 'node-path-loss',
  /** All nodes of a failure domain lose their paths to the store, while the others reach it. */
  DomainStoreLoss: 'domain-store-loss',
  /** Half of the nodes are killed at the same moment, and started again together. */
  NodeHerdKill: 'node-herd-kill',
} as const;

export type SoakFaultKind = (typeof SoakFaultKind)[keyof typeof SoakFaultKind];

export const SOAK_FAULT_KINDS: readonly SoakFaultKind[] = Object.values(SoakFaultKind);

/** The selection before kills of many nodes at once. */
export const SIXTH_FAULT_KINDS: readonly SoakFaultKind[] = SOAK_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.NodeHerdKill;
});

/** The selection before failure domains without the store. */
export const FIFTH_FAULT_KINDS: readonly SoakFaultKind[] = SIXTH_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.DomainStoreLoss;
});

/** The selection before path losses. */
export const FOURTH_FAULT_KINDS: readonly SoakFaultKind[] = FIFTH_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.NodePathLoss;
});

/**
 * Older selections of kinds, to replay seeds that failed with them: the schedule of a seed depends on the
 * kinds to choose from. This one lacks the two newest kinds.
 */
export const THIRD_FAULT_KINDS: readonly SoakFaultKind[] = FOURTH_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.TargetAdvertisesLimit && kind !== SoakFaultKind.StoreRestore;
});

/** The selection before {@link THIRD_FAULT_KINDS}. */
export const SECOND_FAULT_KINDS: readonly SoakFaultKind[] = THIRD_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.CrashingRequest && kind !== SoakFaultKind.TargetAnnouncesDrain;
});

/** The oldest selection, which the regression seeds use. */
export const FIRST_FAULT_KINDS: readonly SoakFaultKind[] = SECOND_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.TargetRestart && kind !== SoakFaultKind.ForeignEntry;
});
