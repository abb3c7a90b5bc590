/** The `parsleyctl target` commands. */
import { create, toJsonString } from '@bufbuild/protobuf';
import { PlanSchema, TargetAction, TargetRequestSchema } from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import { formatPlan } from '../../output/common/planText.js';
import { AdminCommand } from './adminCommand.js';

const CATEGORY = 'Targets';

/** Base class of the commands that create a plan for one target. */
abstract class TargetCommand extends AdminCommand {
  readonly target = Option.String({ name: 'ADDRESS' });

  readonly note = Option.String('--note', '', { description: 'reason, for the audit log' });

  protected abstract readonly action: TargetAction;

  protected override async run(): Promise<void> {
    const { target, note, action } = this;
    const message = create(TargetRequestSchema, { target, note, action });
    const body = toJsonString(TargetRequestSchema, message);
    await this.request(PlanSchema, { method: 'POST', path: '/v1/targets', body }, formatPlan);
  }
}

/** Creates a plan that drains a target. */
export class TargetDrainCommand extends TargetCommand {
  static override readonly paths = [['target', 'drain']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'create a plan that drains a target, so that it receives no new requests',
    examples: [['Drain a target', 'parsleyctl target drain 127.0.0.1:9001 --note "new disk"']],
  });

  protected override readonly action = TargetAction.DRAIN;
}

/** Creates a plan that returns a target to service. */
export class TargetReturnCommand extends TargetCommand {
  static override readonly paths = [['target', 'return']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'create a plan that returns a drained target to service',
    examples: [['Return a target', 'parsleyctl target return 127.0.0.1:9001']],
  });

  protected override readonly action = TargetAction.RETURN;
}
