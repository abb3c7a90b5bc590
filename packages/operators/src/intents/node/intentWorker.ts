/** The thread that reads one intent and ends. */
import { parentPort, workerData } from 'node:worker_threads';
import { toBinary } from '@bufbuild/protobuf';
import { IntentSchema } from '@parsleymux/schema';
import { parseIntentText } from './intentText.js';

/** What the thread answers. */
export type IntentWorkerResponse =
  | { readonly bytes: Uint8Array; readonly problem?: undefined }
  | { readonly bytes?: undefined; readonly problem: string };

function readIntent(text: string): IntentWorkerResponse {
  try {
    return { bytes: toBinary(IntentSchema, parseIntentText(text)) };
  } catch (error) {
    return { problem: error instanceof Error ? error.message : String(error) };
  }
}

parentPort?.postMessage(readIntent(String(workerData)));
