/** Test fixture: an administration API on a local port, over in-memory stores. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { create } from '@bufbuild/protobuf';
import type { Event, IDisposable, ResultCode } from '@parsleymux/base';
import {
  createSilentLogger,
  Emitter,
  InvariantRegistry,
  ManualClock,
  SeededRandom,
} from '@parsleymux/base';
import type { IFleetConfig, IFleetConfigChange } from '@parsleymux/config';
import { ConfigService, IntentValidator, PlanBuilder, PlanStore } from '@parsleymux/config';
import type { IMemoryPlatform } from '@parsleymux/config/testing';
import { createMemoryPlatform } from '@parsleymux/config/testing';
import type { ClaimInfo } from '@parsleymux/schema';
import { ClaimInfoSchema, ClaimOutcome } from '@parsleymux/schema';
import type { IAdminApiOptions } from '../api/node/adminApi.js';
import { AdminApi } from '../api/node/adminApi.js';
import { AuditLog } from '../audit/common/auditLog.js';
import { BurnReader } from '../burn/common/burnReader.js';
import type { ISettleRequest } from '../claims/common/claimSettler.js';
import { ClaimSettler } from '../claims/common/claimSettler.js';
import { KeyStore } from '../keys/common/keyStore.js';
import type { IFleetStatus } from '../status/common/statusProvider.js';
import { StatusProvider } from '../status/common/statusProvider.js';

class FixedConfig extends ConfigService {
  current: IFleetConfig = { fleetRevision: 0, members: new Map() };
  override readonly onDidChange: Event<IFleetConfigChange> = new Emitter<IFleetConfigChange>()
    .onDidFire;

  override getCurrent(): IFleetConfig {
    return this.current;
  }
}

class FixedStatus extends StatusProvider {
  found: IFleetStatus = { nodes: [], silentNodes: [] };

  override getStatus(): Promise<IFleetStatus> {
    return Promise.resolve(this.found);
  }
}

class FakeClaimSettler extends ClaimSettler {
  readonly settled: ISettleRequest[] = [];

  override getClaim(member: string, claimKey: string): Promise<ClaimInfo | undefined> {
    if (claimKey !== 'order-1') return Promise.resolve(undefined);
    return Promise.resolve(create(ClaimInfoSchema, { member, claimKey, state: 'unknown' }));
  }

  override settle(request: ISettleRequest): Promise<ClaimInfo> {
    this.settled.push(request);
    const { member, claimKey, operator: settledBy, note } = request;
    const state = request.outcome === ClaimOutcome.RAN ? 'ran-not-kept' : 'not-run';
    return Promise.resolve(create(ClaimInfoSchema, { member, claimKey, settledBy, note, state }));
  }
}

/** Response to a call. */
export interface ICallResult {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/** A running API and its dependencies. */
export interface IApiFixture extends IDisposable {
  readonly url: string;
  readonly platform: IMemoryPlatform;
  readonly clock: ManualClock;
  readonly keys: KeyStore;
  readonly config: FixedConfig;
  readonly status: FixedStatus;
  readonly claims: FakeClaimSettler;
  readonly invariants: InvariantRegistry;
  readonly operations: readonly string[];
  /** Number of responses so far, by result code. */
  getCounts(): ReadonlyMap<ResultCode, number>;
  call(method: string, path: string, key?: string, body?: unknown): Promise<ICallResult>;
}

/**
 * Starts the API over an in-memory platform.
 *
 * @example
 * const api = await startApiFixture();
 * const { status } = await api.call('GET', '/v1/status', key);
 * await api.dispose();
 */
export async function startApiFixture(
  options: Partial<IAdminApiOptions> = {},
): Promise<IApiFixture> {
  const random = new SeededRandom(1);
  const clock = new ManualClock({ startMs: 1_700_000_000_000 });
  const platform = createMemoryPlatform(random);
  const shared = { platform, table: platform.table, clock, random };
  const plans = new PlanStore({
    ...shared,
    validator: new IntentValidator(),
    builder: new PlanBuilder(),
  });
  const keys = new KeyStore(shared);
  const config = new FixedConfig();
  const status = new FixedStatus();
  const claims = new FakeClaimSettler();
  const invariants = new InvariantRegistry();
  const audit = new AuditLog(shared);
  const logger = createSilentLogger();
  const burn = new BurnReader({ ...shared, config });
  const dependencies = {
    plans,
    keys,
    audit,
    config,
    status,
    claims,
    burn,
    clock,
    invariants,
    logger,
  };
  const api = new AdminApi({ ...dependencies, ...options });
  const server = createServer((request, response) => void api.handle(request, response));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    ...{ url, platform, clock, keys, config, status, claims, invariants },
    operations: api.listOperations(),
    getCounts: () => api.getCounts(),
    call: (method, path, key, body) => executeCall(url + path, method, key, body),
    dispose: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

async function executeCall(
  url: string,
  method: string,
  key: string | undefined,
  body: unknown,
): Promise<ICallResult> {
  const response = await fetch(url, {
    method,
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
  });
  const text = await response.text();
  return { status: response.status, text, body: JSON.parse(text) as Record<string, unknown> };
}
