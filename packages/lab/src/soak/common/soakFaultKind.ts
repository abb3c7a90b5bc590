/** Kinds of fault that the soak injects. */
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
  /** Another writer spoils a target's entry. */
  ForeignEntry: 'foreign-entry',
  ConfigChange: 'config-change',
  ConfigStorm: 'config-storm',
  /** A caller repeats a request that crashes the targets that run it. */
  CrashingRequest: 'crashing-request',
  /** A target says in its answers that it leaves, and its entry does not. */
  TargetTellsDrain: 'target-tells-drain',
  /** A target names in its answers how many requests a second it takes. */
  TargetNamesLimit: 'target-names-limit',
  /** The store comes back from an older copy; what others wrote since is written again. */
  StoreRestore: 'store-restore',
} as const;

export type SoakFaultKind = (typeof SoakFaultKind)[keyof typeof SoakFaultKind];

export const SOAK_FAULT_KINDS: readonly SoakFaultKind[] = Object.values(SoakFaultKind);

/**
 * Kinds that schedules were drawn from when earlier seeds failed: a kind more would make other schedules
 * of the same seeds.
 */
export const THIRD_FAULT_KINDS: readonly SoakFaultKind[] = SOAK_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.TargetNamesLimit && kind !== SoakFaultKind.StoreRestore;
});

/** The same, before there were those. */
export const SECOND_FAULT_KINDS: readonly SoakFaultKind[] = THIRD_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.CrashingRequest && kind !== SoakFaultKind.TargetTellsDrain;
});

/** The same for the regression seeds. */
export const FIRST_FAULT_KINDS: readonly SoakFaultKind[] = SECOND_FAULT_KINDS.filter((kind) => {
  return kind !== SoakFaultKind.TargetRestart && kind !== SoakFaultKind.ForeignEntry;
});
