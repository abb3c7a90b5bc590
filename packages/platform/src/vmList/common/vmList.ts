/** The platform's list of the system's own VMs. It lags by seconds. */

export const VmState = { Live: 'live', Leaving: 'leaving' } as const;

export type VmState = (typeof VmState)[keyof typeof VmState];

/** One VM as the platform lists it. */
export interface IVm {
  /** Peer address of the node on it: IP number and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: VmState;
}

/** Access to the list. */
export abstract class VmList {
  abstract list(signal?: AbortSignal): Promise<readonly IVm[]>;
}
