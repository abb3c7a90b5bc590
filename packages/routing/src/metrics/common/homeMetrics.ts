/**
 * Counters of a home. Recurring incidents are counted; only changes of health status are logged.
 */
import { Counter, Registry } from 'prom-client';

const LABELS = ['member', 'service'] as const;

type ServiceCounter = Counter<(typeof LABELS)[number]>;

/** Counters by member and service. */
export class HomeMetrics {
  readonly attempts: ServiceCounter;
  readonly retries: ServiceCounter;
  readonly hedges: ServiceCounter;
  readonly sheds: ServiceCounter;
  readonly silentConnections: ServiceCounter;
  readonly pathFaults: ServiceCounter;
  readonly ejections: Counter<'member' | 'service' | 'decision'>;
  readonly trials: Counter<'member' | 'service' | 'result'>;

  constructor(readonly registry: Registry = new Registry()) {
    this.attempts = this.createCounter('attempts', 'Requests sent to targets.');
    this.retries = this.createCounter('retries', 'Attempts after a failed one.');
    this.hedges = this.createCounter(
      'hedges',
      'Second attempts started while the first was overdue.',
    );
    this.sheds = this.createCounter(
      'sheds',
      'Responses by which targets refused to run a request.',
    );
    this.silentConnections = this.createCounter(
      'connections_accused',
      'Times that connections stopped responding while their target was healthy.',
    );
    this.pathFaults = this.createCounter(
      'path_faults',
      'Targets found to be reachable from other nodes only.',
    );
    this.ejections = new Counter({
      name: 'parsleymux_home_ejections_total',
      help: 'Decisions of the ejection ledger.',
      labelNames: [...LABELS, 'decision'],
      registers: [registry],
    });
    this.trials = new Counter({
      name: 'parsleymux_home_trials_total',
      help: 'Trials of ejected targets by result.',
      labelNames: [...LABELS, 'result'],
      registers: [registry],
    });
  }

  private createCounter(name: string, help: string): ServiceCounter {
    return new Counter({
      name: `parsleymux_home_${name}_total`,
      help,
      labelNames: LABELS,
      registers: [this.registry],
    });
  }
}
