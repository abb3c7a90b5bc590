/** Parses the text of an intent into a message, and validates it against the schema. */
import type { Intent } from '@parsleymux/schema';

/** Parses intents that members submit. */
export abstract class IntentReader {
  /** Parses and validates an intent. Throws MalformedIntent, LimitExceeded. */
  abstract read(text: string, signal: AbortSignal): Promise<Intent>;
}
