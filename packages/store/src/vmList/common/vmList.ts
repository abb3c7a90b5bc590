/** The platform's list of the fleet's own VMs, which lags by seconds. */

/** State of a VM as reported by the platform. A leaving VM will be removed, but still runs for some time. */
export const VmState = { Live: 'live', Leaving: 'leaving' } as const;

export type VmState = (typeof VmState)[keyof typeof VmState];

/** One VM in the list. */
export interface IVm {
  /** Peer address of the node on it: IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: VmState;
}

/** Reads the list. */
export abstract class VmList {
  /**
   * Returns all VMs of the fleet. Rejects with a PlatformError when no response arrives.
   *
   * @example
   * const live = (await vms.list(signal)).filter((vm) => vm.state === VmState.Live);
   */
  abstract list(signal?: AbortSignal): Promise<readonly IVm[]>;
}
