/** Reads from /proc what a process uses. */
import { readFileSync, readdirSync } from 'node:fs';

const BYTES_PER_KB = 1024;

/**
 * Returns the largest resident memory that a process has had, in bytes.
 *
 * @example
 * const bytes = readPeakMemory(child.pid);
 */
export function readPeakMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? NaN) * BYTES_PER_KB;
}

/** Returns the number of open descriptors of a process. */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
