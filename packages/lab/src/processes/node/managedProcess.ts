/** One child process of the lab, from its start to its confirmed exit. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import VError from 'verror';

const READY_TIMEOUT_MS = 20_000;
/** Last lines of standard error that are kept for error messages. */
const MAX_ERROR_LINES = 200;

/** Options of a {@link ManagedProcess}. */
export interface IManagedProcessOptions {
  /** Name in error messages. */
  readonly name: string;
  /** Path of the JavaScript file that Node runs. */
  readonly script: string;
  readonly args?: readonly string[];
  /** Variables that are added to the inherited environment. */
  readonly env?: Readonly<Record<string, string>>;
  /** Options of the Node.js runtime, such as a heap limit. */
  readonly nodeOptions?: readonly string[];
  /** Processors that the process may use, as a list for `taskset`, such as "0,1". Default: all. */
  readonly processors?: string | undefined;
}

/** How a process ended. */
export interface IProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/**
 * A running child process. Its standard input is a pipe; stand-ins exit when it closes, so that they
 * don't outlive the lab.
 *
 * @example
 * const child = new ManagedProcess({ name: 'platform', script: 'main.js' });
 * const ready = await child.waitForReady();
 * child.sendSignal('SIGTERM');
 * await child.waitForEnd();
 */
export class ManagedProcess {
  readonly name: string;
  private readonly child: ChildProcess;
  private readonly errorLines: string[] = [];
  private readonly outputLines: string[] = [];
  private readonly ended: Promise<IProcessEnd>;
  private readonly ready: Promise<unknown>;
  private end: IProcessEnd | undefined;
  private stopped = false;

  constructor(options: IManagedProcessOptions) {
    this.name = options.name;
    const args = [...(options.nodeOptions ?? []), options.script, ...(options.args ?? [])];
    const { processors } = options;
    const [file, prefix] =
      processors === undefined
        ? [process.execPath, []]
        : ['taskset', ['-c', processors, process.execPath]];
    this.child = spawn(file, [...prefix, ...args], {
      stdio: ['pipe', 'pipe', 'pipe'],
      env: { ...process.env, ...options.env },
    });
    // Killing a child breaks the pipe to its standard input; this EPIPE is expected.
    this.child.stdin?.on('error', () => undefined);
    this.ended = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        this.end = { code, signal };
        resolve(this.end);
      });
    });
    this.recordErrorLines();
    this.ready = this.readFirstLine();
    this.ready.catch(() => undefined);
  }

  get pid(): number {
    return this.child.pid ?? -1;
  }

  /** Resolves with the JSON value of the first line of standard output; rejects if the process ends first. */
  waitForReady(): Promise<unknown> {
    return this.ready;
  }

  waitForEnd(): Promise<IProcessEnd> {
    return this.ended;
  }

  isRunning(): boolean {
    return this.end === undefined;
  }

  /** Whether the process was stopped by SIGSTOP and not yet resumed. */
  isStopped(): boolean {
    return this.stopped;
  }

  /** Sends a signal to the process if it is still running. */
  sendSignal(signal: NodeJS.Signals): void {
    if (!this.isRunning()) return;
    if (signal === 'SIGSTOP') this.stopped = true;
    if (signal === 'SIGCONT') this.stopped = false;
    this.child.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL when the process has not ended after `graceMs`. */
  async stop(graceMs: number): Promise<IProcessEnd> {
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGTERM');
    const timer = setTimeout(() => {
      this.sendSignal('SIGKILL');
    }, graceMs);
    const end = await this.ended;
    clearTimeout(timer);
    return end;
  }

  /** Returns the last lines that the process wrote to standard error. */
  getErrorLines(): readonly string[] {
    return this.errorLines;
  }

  /** Returns all lines of standard output so far. */
  getOutputLines(): readonly string[] {
    return this.outputLines;
  }

  private recordErrorLines(): void {
    if (this.child.stderr === null) return;
    createInterface({ input: this.child.stderr }).on('line', (line) => {
      this.errorLines.push(line);
      if (this.errorLines.length > MAX_ERROR_LINES) this.errorLines.shift();
    });
  }

  private readFirstLine(): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const fail = (reason: string) => {
        const lines = this.errorLines.slice(-20).join('\n');
        reject(new VError('%s %s:\n%s', this.name, reason, lines));
      };
      const timer = setTimeout(() => {
        fail('was not ready in time');
      }, READY_TIMEOUT_MS);
      void this.ended.then(({ code, signal }) => {
        clearTimeout(timer);
        fail(`ended before it was ready (${code ?? signal ?? 'unknown'})`);
      });
      if (this.child.stdout === null) return;
      const lines = createInterface({ input: this.child.stdout });
      lines.on('line', (line) => this.outputLines.push(line));
      lines.once('line', (line) => {
        clearTimeout(timer);
        try {
          resolve(JSON.parse(line));
        } catch {
          fail(`printed "${line}" where its addresses were expected`);
        }
      });
    });
  }
}
