/** The `parsleyctl claim` commands. */
import { create, toJsonString } from '@bufbuild/protobuf';
import { MuxError, ResultCode, RunState } from '@parsleymux/base';
import type { ClaimInfo } from '@parsleymux/schema';
import { ClaimInfoSchema, ClaimOutcome, SettleClaimRequestSchema } from '@parsleymux/schema';
import { Command, Option } from 'clipanion';
import { formatInstant } from '../../output/common/table.js';
import { AdminCommand } from './adminCommand.js';

const CATEGORY = 'Claims';
const OUTCOMES: ReadonlyMap<string, ClaimOutcome> = new Map([
  ['ran', ClaimOutcome.RAN],
  ['not-run', ClaimOutcome.NOT_RUN],
]);

/** Shows a claim, by the idempotency key of its request. */
export class ClaimShowCommand extends AdminCommand {
  static override readonly paths = [['claim', 'show']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'show the state of the claim of a non-idempotent request',
    examples: [['Look a request up by its idempotency key', 'parsleyctl claim show order-17']],
  });

  readonly claimKey = Option.String({ name: 'IDEMPOTENCY-KEY' });

  protected override async run(): Promise<void> {
    const path = `/v1/claims/${encodeURIComponent(this.claimKey)}`;
    await this.request(ClaimInfoSchema, { method: 'GET', path }, formatClaim);
  }
}

/** Settles a claim whose outcome is unknown. */
export class ClaimSettleCommand extends AdminCommand {
  static override readonly paths = [['claim', 'settle']];

  static override readonly usage = Command.Usage({
    category: CATEGORY,
    description: 'settle the unknown outcome of a non-idempotent request',
    details:
      'Check the target’s own records first. "not-run" lets the caller run the request again: ' +
      'if it had run, it runs twice.',
    examples: [
      ['It ran', 'parsleyctl claim settle order-17 --outcome ran --note "in the order book"'],
      ['It did not', 'parsleyctl claim settle order-17 --outcome not-run --note "not in the book"'],
    ],
  });

  readonly claimKey = Option.String({ name: 'IDEMPOTENCY-KEY' });

  readonly outcome = Option.String('--outcome', { required: true, description: 'ran or not-run' });

  readonly note = Option.String('--note', {
    required: true,
    description: 'how the outcome was determined, for the audit log',
  });

  protected override async run(): Promise<void> {
    const outcome = OUTCOMES.get(this.outcome);
    if (outcome === undefined) {
      const message = '--outcome is "ran" or "not-run"';
      throw new MuxError({ code: ResultCode.UsageError, message, runState: RunState.NotRun });
    }
    const message = create(SettleClaimRequestSchema, { outcome, note: this.note });
    const body = toJsonString(SettleClaimRequestSchema, message);
    const path = `/v1/claims/${encodeURIComponent(this.claimKey)}/settle`;
    await this.request(ClaimInfoSchema, { method: 'POST', path, body }, formatClaim);
  }
}

function formatClaim(claim: ClaimInfo): string {
  const lines = [
    `claim ${claim.claimKey}`,
    `state ${claim.state} since ${formatInstant(claim.changedAtMs)}`,
    `claimed ${formatInstant(claim.claimedAtMs)} by ${claim.claimer}`,
  ];
  if (claim.settledBy !== '') lines.push(`settled by ${claim.settledBy}: ${claim.note}`);
  return lines.join('\n');
}
