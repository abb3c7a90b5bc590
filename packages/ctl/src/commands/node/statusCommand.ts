/** The `parsleyctl status` command. */
import { StatusResponseSchema } from '@parsleymux/schema';
import { Command } from 'clipanion';
import { formatStatus } from '../../output/common/statusText.js';
import { AdminCommand } from './adminCommand.js';

/** Shows the state of nodes and targets. */
export class StatusCommand extends AdminCommand {
  static override readonly paths = [['status']];

  static override readonly usage = Command.Usage({
    category: 'State',
    description: 'show which nodes have the newest revision in force, and the health of targets',
    examples: [
      ['Show the fleet', 'parsleyctl status'],
      [
        'Wait for a change',
        'until parsleyctl status --json | grep -q \'"nodesBehind": 0\'; do sleep 1; done',
      ],
    ],
  });

  protected override async run(): Promise<void> {
    await this.request(StatusResponseSchema, { method: 'GET', path: '/v1/status' }, formatStatus);
  }
}
