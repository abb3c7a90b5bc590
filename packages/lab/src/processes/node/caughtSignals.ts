/** Reads from /proc which signals a process handles. */
import { readFileSync } from 'node:fs';

const SIGHUP = 1;
const SIGUSR2 = 12;

/**
 * Whether a process has installed a handler for SIGHUP. Without one, the signal ends the process.
 *
 * @example
 * if (isReloadCaught(child.pid)) child.sendSignal('SIGHUP');
 */
export function isReloadCaught(pid: number): boolean {
  return isCaught(pid, SIGHUP);
}

/** Whether a process has installed a handler for SIGUSR2, the signal that cuts a node off from all targets. */
export function isPathCutCaught(pid: number): boolean {
  return isCaught(pid, SIGUSR2);
}

function isCaught(pid: number, signal: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & (1n << BigInt(signal - 1))) !== 0n;
}
