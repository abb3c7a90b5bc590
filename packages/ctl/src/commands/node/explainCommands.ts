/** The `parsleyctl explain` commands, which find causes in the logs of the nodes. */
import type { Readable } from 'node:stream';
import { Command, Option } from 'clipanion';
import { ExitStatus } from '../../cli/common/exitStatus.js';
import type { ILogLine } from '../../explain/common/logLine.js';
import { countLosses } from '../../explain/common/lossReport.js';
import { findRequestTimeline, findTargetTimeline } from '../../explain/common/timeline.js';
import { readLogs } from '../../explain/node/logReader.js';
import { formatLosses } from '../../output/common/lossText.js';
import { formatTimeline } from '../../output/common/timelineText.js';

/** Base class of the commands, which read logs and call no node. */
abstract class LogCommand extends Command {
  readonly json = Option.Boolean('--json', false, { description: 'write JSON' });

  /** Declared by each command, because the order of declarations is that of the arguments. */
  abstract readonly files: string[];

  override async execute(): Promise<number> {
    const lines = await this.readLines(this.context.stdin);
    return lines === undefined ? ExitStatus.Usage : this.printLines(lines);
  }

  /** Writes the result for the lines; returns the exit status. */
  protected abstract printLines(lines: readonly ILogLine[]): number;

  private async readLines(stdin: Readable): Promise<readonly ILogLine[] | undefined> {
    try {
      return await readLogs(this.files, stdin);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.context.stderr.write(`can't read logs: ${reason}\n`);
      return undefined;
    }
  }
}

/** Shows the timeline of one request or target. */
abstract class TimelineCommand extends LogCommand {
  readonly id = Option.String({ name: 'ID' });

  override readonly files = Option.Rest({ name: 'FILES' });

  protected override printLines(lines: readonly ILogLine[]): number {
    const { stderr, stdout } = this.context;
    const timeline = this.findTimeline(lines);
    if (timeline.length === 0) {
      stderr.write(`none of ${lines.length} lines refers to ${this.id}\n`);
      return ExitStatus.Refused;
    }
    const text = this.json
      ? timeline.map(({ fields }) => JSON.stringify(fields)).join('\n')
      : formatTimeline(timeline);
    stdout.write(`${text}\n`);
    return ExitStatus.Ok;
  }

  protected abstract findTimeline(lines: readonly ILogLine[]): readonly ILogLine[];
}

/** Shows the timeline of one request across nodes. */
export class ExplainRequestCommand extends TimelineCommand {
  static override readonly paths = [['explain', 'request']];

  static override readonly usage = Command.Usage({
    category: 'State',
    description:
      'show from logs how one request was handled, and earlier events of its targets and nodes',
    details: 'Reads the files named, or standard input. Needs no node and no key.',
    examples: [['From collected logs', 'parsleyctl explain request 9c41d07be2a35f68 logs/*.log']],
  });

  protected override findTimeline(lines: readonly ILogLine[]): readonly ILogLine[] {
    return findRequestTimeline(lines, this.id);
  }
}

/** Shows the timeline of one target: changes of its health and failed attempts. */
export class ExplainTargetCommand extends TimelineCommand {
  static override readonly paths = [['explain', 'target']];

  static override readonly usage = Command.Usage({
    category: 'State',
    description: 'show from logs how nodes estimated the health of one target, when and why',
    details: 'Reads the files named, or standard input. Needs no node and no key.',
    examples: [['From collected logs', 'parsleyctl explain target i-7f3a91c2 logs/*.log']],
  });

  protected override findTimeline(lines: readonly ILogLine[]): readonly ILogLine[] {
    return findTargetTimeline(lines, this.id);
  }
}

/** Counts the requests that were refused, failed or late, by reason. */
export class ExplainLossesCommand extends LogCommand {
  static override readonly paths = [['explain', 'losses']];

  static override readonly usage = Command.Usage({
    category: 'State',
    description: 'count from logs which requests were refused, failed or late, and why',
    details: 'Each lost request has one reason. Reads the files named, or standard input.',
    examples: [['From collected logs', 'parsleyctl explain losses logs/*.log']],
  });

  override readonly files = Option.Rest({ name: 'FILES' });

  protected override printLines(lines: readonly ILogLine[]): number {
    const report = countLosses(lines);
    const text = this.json ? JSON.stringify(report) : formatLosses(report);
    this.context.stdout.write(`${text}\n`);
    return report.requests > 0 ? ExitStatus.Ok : ExitStatus.Refused;
  }
}
