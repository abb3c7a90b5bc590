/** The secrets that the nodes of one fleet share. */
import { readFile } from 'node:fs/promises';

/**
 * Reads the keys from a file, one a line; an empty name stands for a fleet without a key. More than
 * one line is there while a key is being replaced: PeerAuthenticator says how.
 *
 * @example
 * const keys = await loadFleetKeys(settings.security?.fleetKeyFile ?? '');
 */
export async function loadFleetKeys(file: string): Promise<readonly Uint8Array[]> {
  if (file === '') return [];
  const lines = (await readFile(file, 'utf8')).split('\n');
  return lines.filter((line) => line.trim() !== '').map((line) => Buffer.from(line.trim()));
}
