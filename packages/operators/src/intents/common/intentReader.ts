/** Turns the text of an intent into the message, checked against the schema. */
import type { Intent } from '@parsleymux/schema';

/** Reads texts that members send. */
export abstract class IntentReader {
  /** The intent. Throws MalformedIntent, LimitExceeded. */
  abstract read(text: string, signal: AbortSignal): Promise<Intent>;
}
