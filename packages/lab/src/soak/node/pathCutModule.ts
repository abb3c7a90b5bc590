/**
 * Loaded first by nodes of the soak, with `--import`. Each SIGUSR2 cuts the process off from all targets, or ends
 * the cut; successive cuts let connections hang, reset them, or only refuse new ones.
 */
import { readFileSync } from 'node:fs';
import { Socket } from 'node:net';

const TARGET_HOST = '127.0.0.1';
const CUTS = ['silent', 'reset', 'refuses-new'] as const;

type Cut = (typeof CUTS)[number];

interface IPeer {
  readonly host?: string;
  readonly port?: number;
}

const storeAddress = readStoreAddress();
const targetSockets = new Set<Socket>();
let cuts = 0;
let cut: Cut | undefined;

process.on('SIGUSR2', () => {
  cut = cut === undefined ? CUTS[cuts++ % CUTS.length] : undefined;
  if (cut === 'reset') for (const socket of targetSockets) socket.destroy(new Error('reset'));
  if (cut === 'silent') for (const socket of targetSockets) stopSocket(socket);
});

const { prototype } = Socket;
const originalConnect = Reflect.get(prototype, 'connect') as (...args: unknown[]) => Socket;

Reflect.set(prototype, 'connect', function openSocket(this: Socket, ...args: unknown[]): Socket {
  if (!isTarget(args[0])) return originalConnect.apply(this, args);
  if (cut === 'silent') return this;
  if (cut !== undefined) {
    process.nextTick(() => this.destroy(new Error('connection refused')));
    return this;
  }
  targetSockets.add(this);
  this.once('close', () => targetSockets.delete(this));
  return originalConnect.apply(this, args);
});

/** Discards what the process writes and what arrives, as a partition does. */
function stopSocket(socket: Socket): void {
  socket._write = () => undefined;
  socket._writev = () => undefined;
  socket.pause();
  socket.read = () => null;
}

function isTarget(argument: unknown): boolean {
  if (typeof argument !== 'object' || argument === null || Array.isArray(argument)) return false;
  const { host, port } = argument as IPeer;
  return host === TARGET_HOST && `${host}:${port ?? 0}` !== storeAddress;
}

interface ISoakSettings {
  readonly machine: { readonly platform: { readonly address: string } };
}

function readStoreAddress(): string {
  const path = process.argv.at(-1) ?? '';
  const settings = JSON.parse(readFileSync(path, 'utf8')) as ISoakSettings;
  return settings.machine.platform.address;
}
