/** String formats that are impractical to express as regular expressions. */
import { StringFormat } from '../../gen/parsleymux/options/v1/options_pb.js';

const MAX_PORT = 65_535;
const ADDRESS = /^(\[[0-9a-fA-F:.]+\]|[0-9.]+):([0-9]{1,5})$/;

/**
 * Whether `text` has the format that a field's rule requires.
 *
 * @example
 * hasFormat('127.0.0.1:70000', StringFormat.ADDRESS); // false
 */
export function hasFormat(text: string, format: StringFormat): boolean {
  switch (format) {
    case StringFormat.UNSPECIFIED:
      return true;
    case StringFormat.ADDRESS:
      return isAddress(text);
    case StringFormat.URL:
      return isHttpUrl(text);
  }
}

function isAddress(text: string): boolean {
  const [, host = '', port = ''] = ADDRESS.exec(text) ?? [];
  if (host === '' || Number(port) > MAX_PORT) return false;
  const hostname = parseHostname(host);
  // The URL parser expands short forms such as 127.1; addresses must be written in full.
  return host.startsWith('[') ? hostname !== undefined : hostname === host;
}

function parseHostname(host: string): string | undefined {
  return URL.canParse(`http://${host}`) ? new URL(`http://${host}`).hostname : undefined;
}

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const { protocol } = new URL(text);
  return protocol === 'http:' || protocol === 'https:';
}
