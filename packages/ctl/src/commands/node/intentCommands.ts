/** The `parsleyctl intent` commands. */
import { toJsonString } from '@bufbuild/protobuf';
import { IntentResponseSchema, IntentSchema, PlanSchema } from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import { formatPlan } from '../../output/common/planText.js';
import { AdminCommand, readText } from './adminCommand.js';

/** Submits an intent and shows the resulting plan. */
export class IntentSubmitCommand extends AdminCommand {
  static override readonly paths = [['intent', 'submit']];

  static override readonly usage = Command.Usage({
    category: 'Intents and plans',
    description: 'submit an intent and show the resulting plan',
    details: 'Nothing changes until the plan is confirmed. The file is JSON with comments.',
    examples: [
      ['Submit an intent', 'parsleyctl intent submit booking.jsonc'],
      ['Keep the plan’s identifier', 'parsleyctl intent submit booking.jsonc --json | jq -r .id'],
    ],
  });

  readonly file = Option.String({ name: 'FILE' });

  protected override async run(): Promise<void> {
    const body = readText(this.file);
    await this.request(PlanSchema, { method: 'POST', path: '/v1/intents', body }, formatPlan);
  }
}

/** Shows the intent in force. */
export class IntentShowCommand extends AdminCommand {
  static override readonly paths = [['intent', 'show']];

  static override readonly usage = Command.Usage({
    category: 'Intents and plans',
    description: 'show the intent in force',
    examples: [['Save it for editing', 'parsleyctl intent show > booking.jsonc']],
  });

  protected override async run(): Promise<void> {
    await this.request(IntentResponseSchema, { method: 'GET', path: '/v1/intent' }, (response) => {
      if (response.intent === undefined) return '// the member has no intent in force';
      const text = toJsonString(IntentSchema, response.intent, { prettySpaces: 2 });
      return `// revision ${response.memberRevision} of the member\n${text}`;
    });
  }
}
