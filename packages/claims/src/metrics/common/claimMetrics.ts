/** Counters of claims. Symptoms that operators act on are named in docs/operations/claims.md. */
import { Counter, Gauge, Registry } from 'prom-client';

/** What is read when metrics are collected. */
export interface IClaimGauges {
  readonly getPendingRecords: () => number;
  readonly getTransactions: () => number;
  readonly getRows: () => number;
}

/** Counters by member. */
export class ClaimMetrics {
  readonly claims: Counter<'member' | 'verdict'>;
  readonly ends: Counter<'member' | 'end'>;
  readonly replays: Counter<'member'>;

  constructor(readonly registry: Registry = new Registry()) {
    const registers = [registry];
    this.claims = new Counter({
      name: 'parsleymux_claims_total',
      help: 'Attempts to claim an idempotency key, by verdict of the store.',
      labelNames: ['member', 'verdict'],
      registers,
    });
    this.ends = new Counter({
      name: 'parsleymux_claim_ends_total',
      help: 'Ends of claimed requests: finished, not-run, ran-not-kept or unknown.',
      labelNames: ['member', 'end'],
      registers,
    });
    this.replays = new Counter({
      name: 'parsleymux_claim_replays_total',
      help: 'Recorded answers given to retries.',
      labelNames: ['member'],
      registers,
    });
  }

  /** Adds the metrics that are read from a guard when they are collected. */
  addGauges(gauges: IClaimGauges): void {
    this.addGauge(
      'parsleymux_claim_records_pending',
      'Outcomes and releases that the store does not have yet.',
      gauges.getPendingRecords,
    );
    this.addGauge(
      'parsleymux_claim_transactions_total',
      'Transactions sent for claims.',
      gauges.getTransactions,
    );
    this.addGauge(
      'parsleymux_claim_rows_total',
      'Row changes sent in those transactions.',
      gauges.getRows,
    );
  }

  private addGauge(name: string, help: string, read: () => number): void {
    const gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => {
        gauge.set(read());
      },
    });
  }
}
