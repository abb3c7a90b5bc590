/** Routes datagrams of other nodes to the components that handle them. */
import type { DirectoryService } from '../../directory/node/directoryService.js';
import type { HandoverSharing } from '../../grants/common/handoverSharing.js';
import type { HealthSharing } from '../../grants/common/healthSharing.js';
import type { DatagramBody } from '../../grants/common/datagramChannel.js';
import type { GrantServer } from '../../grants/common/grantServer.js';
import type { HomeSelector } from '../../grants/common/homeSelector.js';
import type { RetrySharing } from '../../grants/common/retrySharing.js';
import type { QuotaSharing } from '../../quotas/common/quotaSharing.js';
import type { QuarantineSharing } from '../../quarantine/common/quarantineSharing.js';

/** Components of a node that handle datagrams. */
export interface IDatagramHandlers {
  readonly handover: HandoverSharing;
  readonly healthSharing: HealthSharing;
  readonly quarantine: QuarantineSharing;
  readonly quotas: QuotaSharing;
  readonly retries: RetrySharing;
  readonly selector: HomeSelector;
  readonly server: GrantServer;
  readonly service: DirectoryService;
}

/**
 * Passes a datagram to the component that handles its kind.
 *
 * @example
 * channel.setHandler((sender, body) => handleDatagram(handlers, sender, body));
 */
export function handleDatagram(
  handlers: IDatagramHandlers,
  sender: string,
  body: DatagramBody,
): void {
  const { handover, healthSharing, quarantine, quotas, retries, selector, server, service } =
    handlers;
  switch (body.case) {
    case 'ask':
      service.recordVersion(sender, Number(body.value.catalogVersion));
      server.handleAsk(sender, body.value);
      break;
    case 'decision':
      service.recordVersion(sender, Number(body.value.catalogVersion));
      selector.handleDecision(sender, body.value);
      break;
    case 'report':
      server.handleReport(sender, body.value);
      break;
    case 'reportReceived':
      selector.handleReportReceived(body.value);
      break;
    case 'update':
      service.handleUpdate(sender, body.value);
      break;
    case 'updateReceived':
      service.handleUpdateReceived(sender, body.value);
      break;
    case 'leaving':
      selector.handleLeaving(sender);
      break;
    case 'hello':
      service.handleHello(sender);
      break;
    case 'beliefs':
      healthSharing.handleBeliefs(sender, body.value);
      break;
    case 'handover':
      handover.handleHandover(sender, body.value);
      break;
    case 'retryUse':
      retries.handleRetryUse(body.value);
      break;
    case 'tenantUse':
      quotas.handleTenantUse(sender, body.value);
      break;
    case 'quarantine':
      quarantine.handleQuarantine(body.value);
      break;
  }
}
