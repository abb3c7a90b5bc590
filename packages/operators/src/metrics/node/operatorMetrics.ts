/** Metrics of administration; docs/OPERATIONS.md says how to act on them. */
import { getResultInfo } from '@parsleymux/base';
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { AdminApi } from '../../api/node/adminApi.js';
import type { BurnRecorder } from '../../burn/common/burnRecorder.js';

/**
 * Adds the API's metrics to a registry. They name no member: who asks how often is the member's.
 *
 * @example
 * registerAdminMetrics(registry, api);
 */
export function registerAdminMetrics(registry: Registry, api: AdminApi): void {
  const answers: Gauge = new Gauge({
    name: 'parsleymux_admin_answers_total',
    help: 'Answers to operators by result code.',
    labelNames: ['code', 'name'],
    registers: [registry],
    collect: () => {
      for (const [code, count] of api.getCounts()) {
        answers.set({ code: String(code), name: getResultInfo(code).name }, count);
      }
    },
  });
  const unaudited: Gauge = new Gauge({
    name: 'parsleymux_audit_entries_lost_total',
    help: 'Refusals that are not in the audit log: too many at once, or the store was out.',
    registers: [registry],
    collect: () => {
      unaudited.set(api.getLostAuditCount());
    },
  });
}

/**
 * Adds the recorder's metrics to a registry.
 *
 * @example
 * registerBurnMetrics(registry, recorder);
 */
export function registerBurnMetrics(registry: Registry, recorder: BurnRecorder): void {
  const lost: Gauge = new Gauge({
    name: 'parsleymux_burn_requests_lost_total',
    help: 'Requests that may be missing from the report on burn.',
    registers: [registry],
    collect: () => {
      lost.set(recorder.getLostCount());
    },
  });
}
