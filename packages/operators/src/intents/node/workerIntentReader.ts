/**
 * Parses large intents in worker threads. Parsing half a megabyte takes tens of milliseconds of
 * processor time, and a text crafted for it takes longer. On the thread that serves callers, one
 * member's intent would delay the requests of every member.
 */
import { Worker } from 'node:worker_threads';
import { fromBinary } from '@bufbuild/protobuf';
import type { Clock } from '@parsleymux/base';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';
import { createLimitError } from '../../access/common/memberLimiter.js';
import { IntentReader } from '../common/intentReader.js';
import type { IntentWorkerResponse } from './intentWorker.js';
import { createIntentError, parseIntentText } from './intentText.js';

/** Up to this length, in characters, starting a thread costs more than parsing in place. */
const MAX_INLINE_LENGTH = 8192;
const DEFAULT_TIMEOUT_MS = 5000;
const MAX_THREADS = 2;
const MAX_QUEUED_READS = 20;
const MAX_HEAP_MB = 96;
const BUSY_RETRY_MS = 2000;

/** Options of a {@link WorkerIntentReader}. */
export interface IWorkerIntentReaderOptions {
  readonly clock: Clock;
  /** Maximum time for parsing one intent, in ms. Default 5000. */
  readonly limitMs?: number;
}

/**
 * Parses small intents in place, and large ones in at most two worker threads.
 *
 * @example
 * const intent = await reader.read(text, signal);
 */
export class WorkerIntentReader extends IntentReader {
  private readonly queue: (() => void)[] = [];
  private running = 0;

  constructor(private readonly options: IWorkerIntentReaderOptions) {
    super();
  }

  override async read(text: string, signal: AbortSignal): Promise<Intent> {
    if (text.length <= MAX_INLINE_LENGTH) return parseIntentText(text);
    await this.reserveThread();
    try {
      signal.throwIfAborted();
      return await this.readInThread(text, signal);
    } finally {
      this.releaseThread();
    }
  }

  private async readInThread(text: string, signal: AbortSignal): Promise<Intent> {
    const worker = new Worker(new URL('./intentWorker.js', import.meta.url), {
      workerData: text,
      resourceLimits: { maxOldGenerationSizeMb: MAX_HEAP_MB },
    });
    const limitMs = this.options.limitMs ?? DEFAULT_TIMEOUT_MS;
    const terminate = () => void worker.terminate();
    const timer = this.options.clock.startTimer(limitMs, terminate);
    signal.addEventListener('abort', terminate, { once: true });
    try {
      const response = await waitForResponse(worker);
      if (response.bytes === undefined) throw createIntentError(response.problem);
      return fromBinary(IntentSchema, response.bytes);
    } finally {
      void timer.dispose();
      signal.removeEventListener('abort', terminate);
      await worker.terminate();
    }
  }

  private async reserveThread(): Promise<void> {
    if (this.running < MAX_THREADS) {
      this.running += 1;
      return;
    }
    if (this.queue.length >= MAX_QUEUED_READS) {
      throw createLimitError('too many large intents are being read', BUSY_RETRY_MS);
    }
    await new Promise<void>((resolve) => this.queue.push(resolve));
  }

  /** Passes the reservation to the read that has waited longest. */
  private releaseThread(): void {
    const next = this.queue.shift();
    if (next === undefined) this.running -= 1;
    else next();
  }
}

function waitForResponse(worker: Worker): Promise<IntentWorkerResponse> {
  return new Promise((resolve) => {
    const fail = () => {
      resolve({ problem: 'reading the intent takes too much time or memory' });
    };
    worker.once('message', resolve);
    worker.once('error', fail);
    worker.once('exit', fail);
  });
}
