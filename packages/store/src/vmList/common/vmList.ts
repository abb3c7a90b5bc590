/** The platform's list of the system's own VMs. It lags by seconds. */

/** What the platform says of a VM. A leaving one still runs for a while. */
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
  /**
   * All VMs of the fleet. Rejects with a PlatformError when no answer came.
   *
   * @example
   * const live = (await vms.list(signal)).filter((vm) => vm.state === VmState.Live);
   */
  abstract list(signal?: AbortSignal): Promise<readonly IVm[]>;
}
