/** TLS files of the node's caller, admin and peer ports. */
import type { DisposableStore, Logger } from '@parsleymux/base';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { Security, TlsFiles } from '@parsleymux/schema';
import { TlsFilesWatcher } from './tlsFilesWatcher.js';

/** Watchers of the TLS files of each port; undefined for a port that uses plain HTTP. */
export interface IPortTls {
  readonly caller: TlsFilesWatcher | undefined;
  readonly admin: TlsFilesWatcher | undefined;
  readonly peer: TlsFilesWatcher | undefined;
}

/**
 * Opens the files that are named in the settings. Throws SettingsInvalid when one is not valid.
 *
 * @example
 * const tls = await openPortTls(settings.security, store, log);
 */
export async function openPortTls(
  security: Security | undefined,
  store: DisposableStore,
  log: Logger,
): Promise<IPortTls> {
  checkPeerAuthority(security?.peerTls);
  const open = async (files: TlsFiles | undefined, port: string) => {
    return files === undefined
      ? undefined
      : store.add(await TlsFilesWatcher.open({ files, port, log }));
  };
  return {
    caller: await open(security?.callerTls, 'caller'),
    admin: await open(security?.adminTls, 'admin'),
    peer: await open(security?.peerTls, 'peer'),
  };
}

/** Peers verify one another; without an authority, a node would accept any server at a peer's address. */
function checkPeerAuthority(files: TlsFiles | undefined): void {
  if (files?.clientAuthorityFile !== '') return;
  throw new MuxError({
    code: ResultCode.SettingsInvalid,
    message: 'security.peerTls needs clientAuthorityFile: peers verify one another by it',
    runState: RunState.NotRun,
  });
}
