/** The secret keys that are shared by the nodes of a fleet. */
import { readFile } from 'node:fs/promises';

/**
 * Reads the keys from a file, one per line; an empty file name means a fleet without a key. The file
 * has several lines while a key is being rotated, as PeerAuthenticator describes.
 *
 * @example
 * const keys = await loadFleetKeys(settings.security?.fleetKeyFile ?? '');
 */
export async function loadFleetKeys(file: string): Promise<readonly Uint8Array[]> {
  if (file === '') return [];
  const lines = (await readFile(file, 'utf8')).split('\n');
  return lines.filter((line) => line.trim() !== '').map((line) => Buffer.from(line.trim()));
}
