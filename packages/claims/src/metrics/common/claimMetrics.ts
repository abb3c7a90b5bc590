/** Metrics of claims. docs/operations/claims.md describes the symptoms that operators act on. */
import { Counter, Gauge, Registry } from 'prom-client';

/** Values that are read when metrics are collected. */
export interface IClaimGauges {
  readonly getPendingRecords: () => number;
  readonly getTransactions: () => number;
  readonly getRows: () => number;
}

/** Counters of claims, by member. */
export class ClaimMetrics {
  readonly claims: Counter<'member' | 'verdict'>;
  readonly ends: Counter<'member' | 'end'>;
  readonly replays: Counter<'member'>;

  constructor(readonly registry: Registry = new Registry()) {
    const registers = [registry];
    this.claims = new Counter({
      name: 'parsleymux_claims_total',
      help: 'Attempts to claim an idempotency key, by result of the write.',
      labelNames: ['member', 'verdict'],
      registers,
    });
    this.ends = new Counter({
      name: 'parsleymux_claim_ends_total',
      help: 'Claimed requests by how they ended: finished, not-run, ran-not-kept or unknown.',
      labelNames: ['member', 'end'],
      registers,
    });
    this.replays = new Counter({
      name: 'parsleymux_claim_replays_total',
      help: 'Recorded responses replayed to retries.',
      labelNames: ['member'],
      registers,
    });
  }

  /** Adds the gauges whose values are read from a guard at collection. */
  addGauges(gauges: IClaimGauges): void {
    this.addGauge(
      'parsleymux_claim_records_pending',
      'Outcomes and releases that are not yet written to the store.',
      gauges.getPendingRecords,
    );
    this.addGauge(
      'parsleymux_claim_transactions_total',
      'Transactions sent for claims.',
      gauges.getTransactions,
    );
    this.addGauge(
      'parsleymux_claim_rows_total',
      'Row changes sent in the transactions for claims.',
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
