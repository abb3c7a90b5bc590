/** Ejection ledger in the platform's table: one row per service, written by conditional transactions. */
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

/** Of two homes that compete for a row, each loses at most one attempt per grant of the other. */
const DEFAULT_ATTEMPTS = 5;

/** Options of a {@link TableEjectionLedger}. */
export interface ITableEjectionLedgerOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly invariants: InvariantRegistry;
  /** This node's peer address. */
  readonly node: string;
  /** Attempts at one change before the ledger is considered unavailable. Default 5. */
  readonly attempts?: number;
}

type RowChange = (row: IEjectionRow) => IEjectionRow | undefined;

/**
 * Stores ejections in the table.
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

  /** Grants only when the configuration is at least as new as the row requires. */
  private decide(request: IEjectionRequest, row: IEjectionRow): EjectionDecision {
    if ((row.memberRevision ?? 0) > request.memberRevision) return EjectionDecision.Unavailable;
    if (hasTarget(row, request.target)) return EjectionDecision.Granted;
    const floorCheck = this.buildFloorCheck(request, row);
    if (!isEjectable(request.target, floorCheck)) return EjectionDecision.RefusedByFloor;
    this.checkFloor(request, floorCheck);
    return EjectionDecision.Granted;
  }

  /** Asserts the floor invariant, computed independently of the decision. */
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
   * Applies `change` on condition that the row is unchanged since it was read. True when the row
   * contains the change. When the response is lost the row is read again: if the write took effect
   * the change has nothing left to do; if not, the condition on the version lets at most one of the
   * two writes commit, so a write that is merely delayed is harmless.
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

/** Drops entries of targets that are no longer configured; they have no effect on capacity. */
function listConfigured(row: IEjectionRow, request: IEjectionRequest): readonly IEjectedTarget[] {
  const configured = new Set(request.service.targets.map((target) => target.address));
  return row.ejected.filter((entry) => configured.has(entry.target));
}
