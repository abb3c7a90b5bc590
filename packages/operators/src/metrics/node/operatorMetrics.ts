/** Metrics of the administration API; docs/OPERATIONS.md describes how to act on them. */
import { getResultInfo } from '@parsleymux/base';
import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';
import type { AdminApi } from '../../api/node/adminApi.js';
import type { BurnRecorder } from '../../burn/common/burnRecorder.js';

/**
 * Adds the API's metrics to a registry. No label names a member, so that the metrics don't disclose
 * how often each member uses the API.
 *
 * @example
 * registerAdminMetrics(registry, api);
 */
export function registerAdminMetrics(registry: Registry, api: AdminApi): void {
  const responses: Gauge = new Gauge({
    name: 'parsleymux_admin_answers_total',
    help: 'Responses to operators by result code.',
    labelNames: ['code', 'name'],
    registers: [registry],
    collect: () => {
      for (const [code, count] of api.getCounts()) {
        responses.set({ code: String(code), name: getResultInfo(code).name }, count);
      }
    },
  });
  const unaudited: Gauge = new Gauge({
    name: 'parsleymux_audit_entries_lost_total',
    help: 'Rejections missing from the audit log: over the rate limit, or the store was unavailable.',
    registers: [registry],
    collect: () => {
      unaudited.set(api.getLostAuditCount());
    },
  });
}

/**
 * Adds the burn recorder's metrics to a registry.
 *
 * @example
 * registerBurnMetrics(registry, recorder);
 */
export function registerBurnMetrics(registry: Registry, recorder: BurnRecorder): void {
  const lost: Gauge = new Gauge({
    name: 'parsleymux_burn_requests_lost_total',
    help: 'Requests that may be missing from the burn report.',
    registers: [registry],
    collect: () => {
      lost.set(recorder.getLostCount());
    },
  });
}
