/** The ejection ledger in the platform's table: one row a service, changed only conditionally. */
import type { Clock, InvariantRegistry } from '@parsleymux/base';
import { InvariantName } from '@parsleymux/base';
import type { IEjectedTarget, IEjectionRow } from '@parsleymux/config';
import { decodeEjections, encodeEjections, formatEjectionKey } from '@parsleymux/config';
import type { ITableRow, TableService } from '@parsleymux/store';
import { PlatformError } from '@parsleymux/store';
import type { IEjectionRequest } from './ejectionLedger.js';
import { EjectionDecision, EjectionLedger } from './ejectionLedger.js';
import type { IFloorCheck } from './capacityFloor.js';
import { isEjectable, computeHealthySlots } from './capacityFloor.js';

/** Two homes that race for one row each lose at most once per grant of the other. */
const DEFAULT_ATTEMPTS = 5;

/** Options of a {@link TableEjectionLedger}. */
export interface ITableEjectionLedgerOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  /** This node's peer address. */
  readonly node: string;
  /** Attempts at one change before the ledger counts as unavailable. Default 5. */
  readonly attempts?: number;
}

type RowChange = (row: IEjectionRow) => IEjectionRow | undefined;

/**
 * Keeps ejections in the table.
 *
 * @example
 * const ledger = new TableEjectionLedger({ table, clock, invariants, node: '127.0.0.1:7002' });
 * const decision = await ledger.requestEjection(request, signal);
 */
export class TableEjectionLedger extends EjectionLedger {
  private readonly options: ITableEjectionLedgerOptions;
  private readonly lastRead = new Map<string, ReadonlySet<string>>();

  constructor(options: ITableEjectionLedgerOptions) {
    super();
    this.options = options;
  }

  override async requestEjection(
    request: IEjectionRequest,
    signal: AbortSignal,
  ): Promise<EjectionDecision> {
    const entry: IEjectedTarget = {
      target: request.target,
      node: this.options.node,
      sinceMs: this.options.clock.getWallTime(),
    };
    let decision: EjectionDecision = EjectionDecision.Unavailable;
    const key = formatEjectionKey(request.member, request.service.name);
    const change: RowChange = (row) => {
      decision = this.decide(request, row);
      if (decision !== EjectionDecision.Granted || hasTarget(row, request.target)) return undefined;
      return { ...row, ejected: [...listConfigured(row, request), entry] };
    };
    const isApplied = await this.transactChange(key, change, signal);
    return isApplied ? decision : EjectionDecision.Unavailable;
  }

  override async returnTarget(
    member: string,
    service: string,
    target: string,
    signal: AbortSignal,
  ): Promise<void> {
    const key = formatEjectionKey(member, service);
    const change: RowChange = (row) => {
      if (!hasTarget(row, target)) return undefined;
      return { ...row, ejected: row.ejected.filter((entry) => entry.target !== target) };
    };
    const isApplied = await this.transactChange(key, change, signal);
    if (!isApplied) throw new Error(`ejection ledger is unavailable; ${target} stays in it`);
  }

  override async readEjected(member: string, service: string, signal: AbortSignal): Promise<void> {
    await this.readRow(formatEjectionKey(member, service), signal);
  }

  override getEjected(member: string, service: string): ReadonlySet<string> {
    return this.lastRead.get(formatEjectionKey(member, service)) ?? new Set();
  }

  /** Grants only on a row and a configuration that are both current. */
  private decide(request: IEjectionRequest, row: IEjectionRow): EjectionDecision {
    if ((row.memberRevision ?? 0) > request.memberRevision) return EjectionDecision.Unavailable;
    if (hasTarget(row, request.target)) return EjectionDecision.Granted;
    const floorCheck = this.buildFloorCheck(request, row);
    if (!isEjectable(request.target, floorCheck)) return EjectionDecision.RefusedByFloor;
    this.checkFloor(request, floorCheck);
    return EjectionDecision.Granted;
  }

  /** Asserts the promise itself, reckoned apart from the rule that decided. */
  private checkFloor(request: IEjectionRequest, floorCheck: IFloorCheck): void {
    const before = computeHealthySlots(floorCheck);
    const ejected = new Set([...floorCheck.ejected, request.target]);
    const after = computeHealthySlots({ ...floorCheck, ejected });
    const holds = after >= Math.min(before, request.service.floorSlots);
    this.options.invariants.check(
      InvariantName.CapacityFloor,
      holds,
      () => `${request.member}/${request.service.name}: ${after} < ${request.service.floorSlots}`,
    );
  }

  private buildFloorCheck(request: IEjectionRequest, row: IEjectionRow): IFloorCheck {
    return {
      service: request.service,
      ejected: new Set(row.ejected.map((entry) => entry.target)),
      otherwiseUnhealthy: new Set(request.otherwiseUnhealthy),
    };
  }

  /**
   * Applies `change` on the condition that the row is still as read. True when the row is as the
   * change wants it. After a lost answer the row is read again: had the write taken effect, the
   * change finds its work done; had it not, the same condition lets at most one of the two writes
   * commit, so an answer that is merely late does no harm.
   */
  private async transactChange(
    key: string,
    change: RowChange,
    signal: AbortSignal,
  ): Promise<boolean> {
    const attempts = this.options.attempts ?? DEFAULT_ATTEMPTS;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      try {
        if (await this.tryUpdate(key, change, signal)) return true;
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
      }
      if (signal.aborted) return false;
    }
    return false;
  }

  private async tryUpdate(key: string, change: RowChange, signal: AbortSignal): Promise<boolean> {
    const row = await this.readRow(key, signal);
    const changed = change(decodeEjections(row));
    if (changed === undefined) return true;
    const result = await this.options.table.transact(
      {
        conditions: [{ key, version: row?.version ?? 0 }],
        writes: [{ key, value: encodeEjections(changed) }],
      },
      signal,
    );
    if (result.committed) this.recordLastRead(key, changed);
    return result.committed;
  }

  private async readRow(key: string, signal: AbortSignal): Promise<ITableRow | undefined> {
    const [row] = await this.options.table.read([key], signal);
    this.recordLastRead(key, decodeEjections(row));
    return row;
  }

  private recordLastRead(key: string, row: IEjectionRow): void {
    this.lastRead.set(key, new Set(row.ejected.map((entry) => entry.target)));
  }
}

function hasTarget(row: IEjectionRow, target: string): boolean {
  return row.ejected.some((entry) => entry.target === target);
}

/** Entries of targets that are configured no more say nothing about capacity. */
function listConfigured(row: IEjectionRow, request: IEjectionRequest): readonly IEjectedTarget[] {
  const configured = new Set(request.service.targets.map((target) => target.address));
  return row.ejected.filter((entry) => configured.has(entry.target));
}
