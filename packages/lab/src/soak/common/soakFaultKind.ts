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
  ConfigChange: 'config-change',
  ConfigStorm: 'config-storm',
} as const;

export type SoakFaultKind = (typeof SoakFaultKind)[keyof typeof SoakFaultKind];

export const SOAK_FAULT_KINDS: readonly SoakFaultKind[] = Object.values(SoakFaultKind);
