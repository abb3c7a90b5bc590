/** The `parsleyctl report` command. */
import { writeFileSync } from 'node:fs';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import { renderBurnPage } from '@parsleymux/operators';
import { BurnResponseSchema } from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import { formatBurnReport } from '../../output/common/burnText.js';
import { AdminCommand } from './adminCommand.js';

/** Reports the burn rates of service-level objectives. */
export class ReportBurnCommand extends AdminCommand {
  static override readonly paths = [['report', 'burn']];

  static override readonly usage = Command.Usage({
    category: 'State',
    description: 'report how fast each service spends its error budget',
    examples: [
      ['As a table', 'parsleyctl report burn'],
      ['As a page with plots', 'parsleyctl report burn --html burn.html'],
    ],
  });

  readonly html = Option.String('--html', { description: 'write a page with plots to this file' });

  protected override async run(): Promise<void> {
    const call = { method: 'GET', path: '/v1/burn' } as const;
    const report = await this.request(BurnResponseSchema, call, formatBurnReport);
    if (this.html === undefined) return;
    try {
      writeFileSync(this.html, renderBurnPage(report));
    } catch (error) {
      const message = `can't write ${this.html}: ${error instanceof Error ? error.message : ''}`;
      throw new MuxError({ code: ResultCode.UsageError, message, runState: RunState.NotRun });
    }
  }
}
