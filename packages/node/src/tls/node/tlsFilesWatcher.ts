/**
 * Reads certificates and keys from files, and again when they change, so that a certificate can be
 * renewed without a restart: a restart drains a node, and 48 concurrent restarts are an outage.
 */
import { readFile } from 'node:fs/promises';
import type { SecureContextOptions } from 'node:tls';
import { createSecureContext } from 'node:tls';
import type { Clock, Event, IDisposable, Logger } from '@parsleymux/base';
import { Emitter, MuxError, ResultCode, RunState, SystemClock } from '@parsleymux/base';
import type { TlsFiles } from '@parsleymux/schema';

const DEFAULT_POLL_MS = 10_000;

/** Options of a TLS server; `requestCert` is true when clients must present a certificate. */
export interface ITlsMaterial extends SecureContextOptions {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
  readonly requestCert: boolean;
  readonly rejectUnauthorized: boolean;
  readonly minVersion: 'TLSv1.2';
}

/** Options of {@link TlsFilesWatcher.open}. */
export interface ITlsFilesWatcherOptions {
  readonly files: Pick<TlsFiles, 'certificateFile' | 'keyFile' | 'clientAuthorityFile'>;
  /** Name of the port, for log lines. */
  readonly port: string;
  readonly log: Logger;
  /** Default: the system clock. */
  readonly clock?: Clock;
  /** Interval between two reads of the files, in ms. Default 10000. */
  readonly pollMs?: number;
}

/**
 * Provides the latest valid certificate and key.
 *
 * The files are polled instead of watched: mounted secrets are replaced by swapping symbolic links, for
 * which there are no notifications on the file itself.
 *
 * @example
 * const watcher = await TlsFilesWatcher.open({ files, port: 'caller', log });
 * const server = createServer(watcher.getMaterial(), listener);
 * watcher.onDidChange((material) => server.setSecureContext(material));
 */
export class TlsFilesWatcher implements IDisposable {
  private readonly options: ITlsFilesWatcherOptions;
  private readonly clock: Clock;
  private readonly didChange = new Emitter<ITlsMaterial>();
  private material: ITlsMaterial;
  private lastError = '';
  private timer: IDisposable | undefined;
  private isDisposed = false;

  /** Fires when there is new valid material; servers use it for new connections. */
  readonly onDidChange: Event<ITlsMaterial> = this.didChange.onDidFire;

  private constructor(options: ITlsFilesWatcherOptions, material: ITlsMaterial) {
    this.options = options;
    this.clock = options.clock ?? new SystemClock();
    this.material = material;
    this.startTimer();
  }

  /** Reads the files for the first time. Throws SettingsInvalid when they are not valid. */
  static async open(options: ITlsFilesWatcherOptions): Promise<TlsFilesWatcher> {
    try {
      return new TlsFilesWatcher(options, await readMaterial(options.files));
    } catch (cause) {
      throw new MuxError({
        code: ResultCode.SettingsInvalid,
        message: `TLS files of the ${options.port} port: ${formatError(cause)}`,
        runState: RunState.NotRun,
        cause,
      });
    }
  }

  getMaterial(): ITlsMaterial {
    return this.material;
  }

  /**
   * Reads the files now. While a certificate's key has not been replaced yet, or a file is incomplete,
   * the previous material stays in use until the next read.
   */
  async update(): Promise<void> {
    try {
      const material = await readMaterial(this.options.files);
      this.lastError = '';
      if (this.isDisposed || isSameMaterial(material, this.material)) return;
      this.material = material;
      this.options.log.info('TLS files replaced', { port: this.options.port });
      this.didChange.fire(material);
    } catch (error) {
      this.logError(formatError(error));
    }
  }

  dispose(): void {
    this.isDisposed = true;
    void this.timer?.dispose();
    this.didChange.dispose();
  }

  private startTimer(): void {
    if (this.isDisposed) return;
    this.timer = this.clock.startTimer(this.options.pollMs ?? DEFAULT_POLL_MS, () => {
      void this.update().finally(() => {
        this.startTimer();
      });
    });
  }

  /** Logs each new error once, not at every read. */
  private logError(fault: string): void {
    if (fault === this.lastError) return;
    this.lastError = fault;
    const { port } = this.options;
    this.options.log.error('TLS files are invalid; the previous ones stay in use', { port, fault });
  }
}

async function readMaterial(files: ITlsFilesWatcherOptions['files']): Promise<ITlsMaterial> {
  const requiresClientCertificate = files.clientAuthorityFile !== '';
  const [cert, key, ca] = await Promise.all([
    readFile(files.certificateFile),
    readFile(files.keyFile),
    requiresClientCertificate ? readFile(files.clientAuthorityFile) : undefined,
  ]);
  const material: ITlsMaterial = {
    cert,
    key,
    ...(ca === undefined ? {} : { ca }),
    requestCert: requiresClientCertificate,
    rejectUnauthorized: requiresClientCertificate,
    minVersion: 'TLSv1.2',
  };
  // Throws when a file is not PEM, or when the key does not match the certificate.
  createSecureContext(material);
  return material;
}

function isSameMaterial(left: ITlsMaterial, right: ITlsMaterial): boolean {
  const leftCa = left.ca ?? Buffer.alloc(0);
  const rightCa = right.ca ?? Buffer.alloc(0);
  return left.cert.equals(right.cert) && left.key.equals(right.key) && leftCa.equals(rightCa);
}

function formatError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
