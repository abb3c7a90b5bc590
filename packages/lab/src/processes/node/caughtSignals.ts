/** Reads from /proc which signals a process handles. */
import { readFileSync } from 'node:fs';

/** Number of SIGHUP. */
const SIGHUP = 1;

/**
 * Whether a process has installed a handler for SIGHUP. Without one, the signal ends the process.
 *
 * @example
 * if (isReloadCaught(child.pid)) child.sendSignal('SIGHUP');
 */
export function isReloadCaught(pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & (1n << BigInt(SIGHUP - 1))) !== 0n;
}
