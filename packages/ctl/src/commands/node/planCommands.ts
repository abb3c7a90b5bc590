/** The `parsleyctl plan` commands. */
import { PlanSchema } from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import type { IAdminCall } from '../../client/node/adminClient.js';
import { formatPlan } from '../../output/common/planText.js';
import { AdminCommand } from './adminCommand.js';

const CATEGORY = 'Intents and plans';

/** Base class of the commands that act on one plan. */
abstract class PlanCommand extends AdminCommand {
  readonly id = Option.String({ name: 'ID' });

  protected async requestPlan(method: IAdminCall['method'], suffix = ''): Promise<void> {
    const path = `/v1/plans/${encodeURIComponent(this.id)}${suffix}`;
    await this.request(PlanSchema, { method, path }, formatPlan);
  }
}

/** Shows a plan. */
export class PlanShowCommand extends PlanCommand {
  static override readonly paths = [['plan', 'show']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'show what confirming a plan changes, or has changed',
    examples: [['Show a plan', 'parsleyctl plan show 5f0c...']],
  });

  protected override async run(): Promise<void> {
    await this.requestPlan('GET');
  }
}

/** Confirms a plan, which puts it in force. */
export class PlanConfirmCommand extends PlanCommand {
  static override readonly paths = [['plan', 'confirm']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'put a plan in force',
    details: 'Idempotent: if the response is lost, run it again to get the outcome.',
    examples: [['Confirm a plan', 'parsleyctl plan confirm 5f0c...']],
  });

  protected override async run(): Promise<void> {
    await this.requestPlan('POST', '/confirm');
  }
}

/** Discards a plan. */
export class PlanDiscardCommand extends PlanCommand {
  static override readonly paths = [['plan', 'discard']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'discard a plan',
    examples: [['Discard a plan', 'parsleyctl plan discard 5f0c...']],
  });

  protected override async run(): Promise<void> {
    await this.requestPlan('DELETE');
  }
}
