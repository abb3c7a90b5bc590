/** Connects the ejection controller of one service to the home's ledger, observer and metrics. */
import type { FailureDetector } from '../../detection/common/failureDetector.js';
import type { CopySender } from '../../ejection/common/copySender.js';
import type { IEjectionEnvironment } from '../../ejection/common/ejectionEnvironment.js';
import type { RequestSampler } from '../../ejection/common/requestSampler.js';
import type { IEvidenceRecorderOptions } from './evidenceRecorder.js';

/** Builds the environment of an ejection controller. */
export function buildEjectionEnvironment(
  options: IEvidenceRecorderOptions,
  detector: FailureDetector,
  sender: CopySender,
  sampler: RequestSampler,
): IEjectionEnvironment {
  const { context, member, pool } = options;
  const { ledger, metrics, observer, clock } = context;
  const getLabels = () => ({ member, service: options.getService().name });
  return {
    clock,
    pool,
    detector,
    sender,
    sampler,
    requestEjection: async (handle, otherwiseUnhealthy, signal) => {
      const request = {
        member,
        service: options.getService(),
        target: handle.address,
        otherwiseUnhealthy,
        memberRevision: getMemberRevision(options),
      };
      const decision = await ledger.requestEjection(request, signal);
      metrics.ejections.inc({ ...getLabels(), decision });
      return decision;
    },
    returnTarget: (handle, signal) => {
      return ledger.returnTarget(member, options.getService().name, handle.address, signal);
    },
    listEjected: () => ledger.getEjected(member, options.getService().name),
    observe: (handle, sample, timeoutMs, signal) => {
      const { method, path } = sample;
      return observer.observe(
        { ...getLabels(), target: handle.address, method, path, timeoutMs },
        signal,
      );
    },
    notifyHealthStatus: (handle) => {
      context.onHealthStatusChange({
        ...getLabels(),
        target: handle.address,
        standing: handle.standing,
        reason: handle.evidence,
        atMs: handle.sinceMs,
      });
    },
    countTrial: (isWell) => {
      metrics.trials.inc({ ...getLabels(), result: isWell ? 'passed' : 'failed' });
    },
    countPathFault: () => {
      metrics.pathFaults.inc(getLabels());
    },
  };
}

function getMemberRevision(options: IEvidenceRecorderOptions): number {
  const config = options.context.configService.getCurrent().members.get(options.member);
  return Number(config?.memberRevision ?? 0);
}
