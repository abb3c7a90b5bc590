/** Intents for tests. */
import { create } from '@bufbuild/protobuf';
import type { Intent } from '@parsleymux/schema';
import { IntentSchema } from '@parsleymux/schema';

/** Differences from the default intent. */
export interface ITestIntentOptions {
  readonly host?: string;
  /** IP address and port of each target; each has 4 slots. */
  readonly targets?: readonly string[];
  readonly floorSlots?: number;
  readonly note?: string;
}

/**
 * Creates an intent with one service "booking" and one route that is not idempotent.
 *
 * @example
 * const intent = createTestIntent('dobrescu', { floorSlots: 4 });
 */
export function createTestIntent(member: string, options: ITestIntentOptions = {}): Intent {
  const targets = options.targets ?? [`127.0.0.1:9001`, `127.0.0.2:9001`];
  return create(IntentSchema, {
    member,
    note: options.note ?? '',
    services: [
      {
        name: 'booking',
        floorSlots: options.floorSlots ?? 4,
        targets: targets.map((address, index) => ({
          address,
          failureDomain: `domain-${index % 3}`,
          slots: 4,
          maxConnections: 400,
        })),
      },
    ],
    routes: [
      {
        name: 'book',
        host: options.host ?? `${member}.example`,
        pathPrefix: '/',
        service: 'booking',
        keyHeader: 'idempotency-key',
        deadlineMs: 10_000,
      },
    ],
  });
}
