/** A simulated node that replicates tables over links with a byte rate. */
import { create, toBinary } from '@bufbuild/protobuf';
import { JoinedSignal, createSilentLogger } from '@parsleymux/base';
import { DatagramSchema } from '@parsleymux/schema';
import type { ICatalog, ITargetRecord } from '@parsleymux/scheduling';
import type { IMember, ITableChanges } from '../directory/common/authority.js';
import {
  Authority,
  AuthorityTable,
  StoreCallError,
  StoreFailure,
} from '../directory/common/authority.js';
import { NodeDirectory } from '../directory/common/nodeDirectory.js';
import { TableServer } from '../directory/common/tableServer.js';
import type {
  ITableRequest,
  ITransferOptions,
  TableReply,
} from '../directory/common/tableTransport.js';
import { TableTransport } from '../directory/common/tableTransport.js';
import { DirectoryService } from '../directory/node/directoryService.js';
import { decodeCompressed, encodeCompressed } from '../directory/node/tableCompression.js';
import type { DatagramBody } from '../grants/common/datagramChannel.js';
import { DatagramChannel } from '../grants/common/datagramChannel.js';
import type { DistributionFleet } from './distributionFleet.js';
import type { IModelledLinks } from './modelledLink.js';
import { ModelledLink } from './modelledLink.js';

const STORE_LATENCY_MS = 4;
const LOST_SHARE = 0.002;
const POLL_MS = 5;
/** Values of rows are base64 in the responses of the store. */
const STORE_ENCODING = 4 / 3;
const REQUEST_BYTES = 300;
const STORED_ROUTE_BYTES = 110;
const BYTES_PER_MS_PER_MBPS = 125;
const CONFIG_KEY = 'config';

/** How long a node waits for a response of the store at most, in ms, besides the time for which the store may hold a read. */
const STORE_TIMEOUT_MS = 4200;

/** How the store treats a node. */
export type StoreAccess = 'open' | 'rejected' | 'silent';

/** A node's access to a table of the store. */
class ModelledTable<T> extends AuthorityTable<T> {
  override readonly malformedRows = 0;

  constructor(
    private readonly node: DistributionNode,
    private readonly read: () => ITableChanges<T>,
  ) {
    super();
  }

  override async readAll(
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<T>> {
    await this.request(0, signal);
    const rows = this.read();
    await this.waitForSlowStore(signal);
    onDidRespond?.();
    return this.receive(rows, signal);
  }

  override async readChanges(
    after: number,
    waitMs: number,
    signal: AbortSignal,
    onDidRespond?: () => void,
  ): Promise<ITableChanges<T>> {
    const { clock } = this.node.fleet;
    const endMs = clock.getMonotonicTime() + waitMs;
    const { heldReads } = this.node;
    await this.request(waitMs, signal);
    for (;;) {
      const rows = this.read();
      const isDue = rows.version > after || clock.getMonotonicTime() >= endMs;
      const isLost = this.node.storeAccess !== 'open' || (waitMs > 0 && heldReads.aborted);
      if (isDue && isLost) {
        await clock.sleep(endMs + STORE_TIMEOUT_MS - clock.getMonotonicTime(), signal);
        throw new StoreCallError(StoreFailure.Silent, 'no response');
      }
      if (isDue) {
        await this.waitForSlowStore(signal);
        onDidRespond?.();
        if (rows.version > after) return this.receive(rows, signal);
        return { version: rows.version, changes: [] };
      }
      await clock.sleep(POLL_MS, signal);
    }
  }

  /** Takes the time of a slow store, and counts the response if it is no longer awaited. */
  private async waitForSlowStore(signal: AbortSignal): Promise<void> {
    const { fleet } = this.node;
    if (fleet.storeDelayMs === 0) return;
    fleet.slowResponses.sent += 1;
    await fleet.clock.sleep(fleet.storeDelayMs, signal).catch((error: unknown) => {
      fleet.slowResponses.discarded += 1;
      throw error;
    });
  }

  private async request(waitMs: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.node.fleet;
    const { storeAccess } = this.node;
    const isSilent = storeAccess === 'silent';
    await clock.sleep(isSilent ? waitMs + STORE_TIMEOUT_MS : STORE_LATENCY_MS, signal);
    if (isSilent) throw new StoreCallError(StoreFailure.Silent, 'no response');
    if (storeAccess === 'rejected') throw new StoreCallError(StoreFailure.Limited, 'rejected');
  }

  /** The store's row of the configuration has the names of columns once and not in each route. */
  private countBytes({ changes }: ITableChanges<T>): number {
    const { catalog } = this.node.fleet;
    const isCatalog = changes.some(({ key }) => key === CONFIG_KEY);
    return isCatalog ? catalog.routes.length * STORED_ROUTE_BYTES : JSON.stringify(changes).length;
  }

  private async receive(rows: ITableChanges<T>, signal: AbortSignal): Promise<ITableChanges<T>> {
    const { clock } = this.node.fleet;
    const bytes = this.countBytes(rows) * STORE_ENCODING;
    await clock.sleep(this.node.links.ingress.reserve(bytes), signal);
    return rows;
  }
}

class ModelledAuthority extends Authority {
  override readonly catalog: AuthorityTable<ICatalog>;
  override readonly targets: AuthorityTable<ITargetRecord>;
  override readonly members: AuthorityTable<IMember>;

  constructor(private readonly node: DistributionNode) {
    super();
    const { fleet } = node;
    this.catalog = new ModelledTable(node, () => ({
      version: fleet.catalog.version,
      changes: [{ key: CONFIG_KEY, value: fleet.catalog }],
    }));
    this.targets = new ModelledTable<ITargetRecord>(node, () => ({ version: 1, changes: [] }));
    this.members = new ModelledTable(node, () => ({
      version: fleet.membersVersion,
      changes: fleet.members.map(({ key, value }) => ({
        key,
        value: fleet.removedMembers.has(key) ? undefined : value,
      })),
    }));
  }

  override async putMember({ address }: IMember): Promise<void> {
    const { fleet, storeAccess } = this.node;
    await fleet.clock.sleep(STORE_LATENCY_MS);
    if (storeAccess !== 'open') throw new StoreCallError(StoreFailure.Silent, 'no response');
    fleet.setRemoved(address, false);
  }

  override removeMember(): Promise<void> {
    return Promise.resolve();
  }
}

class ModelledTransport extends TableTransport {
  constructor(private readonly node: DistributionNode) {
    super();
  }

  override async requestTable(
    stateAddress: string,
    request: ITableRequest,
    { onDidProgress, signal }: ITransferOptions,
  ): Promise<TableReply> {
    const { fleet, links } = this.node;
    const peer = fleet.nodes.get(stateAddress);
    if (peer === undefined) throw new Error('no such node');
    const joined = new JoinedSignal([signal, peer.lost]);
    try {
      await fleet.sendBytes(REQUEST_BYTES, links.egress, peer.links.ingress, joined.signal);
      onDidProgress();
      const result = await peer.server.serve(request, {
        signal: joined.signal,
        compress: encodeCompressed,
        onDidHold: onDidProgress,
      });
      if (result.kind === 'unavailable') throw new Error('no such table');
      const bytes = result.kind === 'table' ? result.bytes.length : REQUEST_BYTES;
      const { egress } = peer.links;
      await fleet.sendBytes(bytes, egress, links.ingress, joined.signal, onDidProgress);
      if (result.kind === 'redirect') return result;
      return { kind: 'table', bytes: decodeCompressed(result.bytes) };
    } catch (error) {
      // Connections to a VM without power hang.
      if (peer.isDown && !signal.aborted) await waitForAbort(signal);
      throw error;
    } finally {
      joined.dispose();
    }
  }
}

class ModelledChannel extends DatagramChannel {
  override readonly address: string;

  constructor(private readonly node: DistributionNode) {
    super();
    this.address = node.member.address;
  }

  override send(address: string, body: DatagramBody): void {
    const { fleet, links } = this.node;
    const receiver = fleet.nodes.get(address);
    if (receiver === undefined || this.node.isDown) return;
    if (fleet.random.getFloat() < LOST_SHARE) return;
    const bytes = toBinary(DatagramSchema, create(DatagramSchema, { body })).length;
    void fleet.sendBytes(bytes, links.egress, receiver.links.ingress).then(() => {
      receiver.receive(this.address, body);
    });
  }

  override setHandler(): void {
    // Datagrams are passed to nodes by their addresses.
  }

  override dispose(): void {
    // Holds no resources.
  }
}

/** A node with its links, as it replicates tables. */
export class DistributionNode {
  readonly directory: NodeDirectory;
  readonly server: TableServer;
  readonly links: IModelledLinks;
  private readonly service: DirectoryService;
  private readonly lostController = new AbortController();
  private heldReadsController = new AbortController();
  storeAccess: StoreAccess = 'open';

  constructor(
    readonly fleet: DistributionFleet,
    readonly member: IMember,
    linkMbps: number,
  ) {
    const { busyShare = 0, clock } = fleet.options;
    this.links = {
      egress: new ModelledLink(clock, linkMbps, busyShare),
      ingress: new ModelledLink(clock, linkMbps, busyShare),
    };
    this.directory = new NodeDirectory(clock);
    const { encoder } = this.directory;
    this.server = new TableServer({
      clock,
      tables: this.directory.listTables(),
      encoder,
      bytesPerMs: linkMbps * BYTES_PER_MS_PER_MBPS,
    });
    this.service = new DirectoryService({
      directory: this.directory,
      authority: new ModelledAuthority(this),
      channel: new ModelledChannel(this),
      transport: new ModelledTransport(this),
      clock,
      random: fleet.random,
      log: createSilentLogger(),
      self: member,
      isFirstStart: false,
      seeds: [],
      ...(fleet.options.applyMs === undefined
        ? {}
        : { getApplyMs: () => fleet.options.applyMs ?? 0 }),
      hasReceivedRequests: () => true,
    });
  }

  /** Aborts when the connections of the reads that the store holds are lost without notice. */
  get heldReads(): AbortSignal {
    return this.heldReadsController.signal;
  }

  stopHeldReads(): void {
    this.heldReadsController.abort();
    this.heldReadsController = new AbortController();
  }

  /** Receives a message for a request, which states the sender's version of the configuration. */
  receiveRequest({ directory, member }: DistributionNode): void {
    if (this.isDown) return;
    this.service.recordVersion(member.address, directory.getCatalog()?.version ?? 0);
  }

  /** Aborts when the VM loses power. */
  get lost(): AbortSignal {
    return this.lostController.signal;
  }

  get isDown(): boolean {
    return this.lost.aborted;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.service.run(AbortSignal.any([signal, this.lost]));
  }

  /** Loses power: nothing is sent any more, and connections stay open without data. */
  stop(): void {
    this.lostController.abort(new Error('power lost'));
  }

  receive(sender: string, body: DatagramBody): void {
    if (this.isDown) return;
    if (body.case === 'update') this.service.handleUpdate(sender, body.value);
    if (body.case === 'updateReceived') this.service.handleUpdateReceived(sender, body.value);
    if (body.case === 'hello') this.service.handleHello(sender);
  }
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => {
      reject(new Error('aborted'));
    });
  });
}
