/** Entry point of a worker thread that parses one intent and exits. */
import { parentPort, workerData } from 'node:worker_threads';
import { toBinary } from '@bufbuild/protobuf';
import { IntentSchema } from '@parsleymux/schema';
import { parseIntentText } from './intentText.js';

/** The message that the thread sends: the encoded intent, or the reason for its rejection. */
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
