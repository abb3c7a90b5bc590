/** Reads the changes since a revision from the platform's store. */
import { create, fromBinary } from '@bufbuild/protobuf';
import type { IPlatform, ITableRow } from '@parsleymux/store';
import { PlatformError, PlatformFailure } from '@parsleymux/store';
import type { MemberConfig, MemberPointer } from '@parsleymux/schema';
import { IntentSchema, MemberConfigSchema } from '@parsleymux/schema';
import {
  CHANGE_PREFIX,
  formatChangeKey,
  HEAD_KEY,
  MEMBER_PREFIX,
} from '../../layout/common/rowKeys.js';
import { decodeHead, decodePointer } from '../../layout/common/rows.js';
import type { IConfigSnapshot } from './configPeer.js';

const SCAN_LIMIT = 1000;
const FETCH_CONCURRENCY = 8;

/** Member revisions that the node has applied already, by member. */
export type KnownRevisions = ReadonlyMap<string, number>;

/**
 * Finds changes through the head row and the change log, so that an up-to-date node reads one row
 * and a node that is behind reads only the changes that it lacks.
 *
 * @example
 * const snapshot = await reader.fetchAfter(12, known, signal);
 */
export class StoreReader {
  constructor(private readonly platform: Pick<IPlatform, 'table' | 'objects'>) {}

  /** Fetches the newest fleet revision. Rejects with a PlatformError. */
  async fetchHead(signal: AbortSignal): Promise<number> {
    const rows = await this.platform.table.read([HEAD_KEY], signal);
    return decodeHead(rows[0]);
  }

  /** Fetches the changes after `fleetRevision`, up to `head` or beyond. Rejects with a PlatformError. */
  async fetchAfter(
    fleetRevision: number,
    head: number,
    known: KnownRevisions,
    signal: AbortSignal,
  ): Promise<IConfigSnapshot> {
    const found =
      (await this.scanChanges(fleetRevision, signal)) ?? (await this.scanMembers(head, signal));
    const missing = found.pointers.filter((pointer) => {
      return Number(pointer.memberRevision) > (known.get(pointer.member) ?? 0);
    });
    return this.fetchConfigs(missing, found.fleetRevision, signal);
  }

  /** Undefined when the change log no longer has the change after `fleetRevision`. */
  private async scanChanges(
    fleetRevision: number,
    signal: AbortSignal,
  ): Promise<IPointerScan | undefined> {
    const after = formatChangeKey(fleetRevision);
    const rows = await this.platform.table.scan(
      { prefix: CHANGE_PREFIX, after, limit: SCAN_LIMIT },
      signal,
    );
    const newest = new Map<string, MemberPointer>();
    let reached = fleetRevision;
    for (const pointer of decodePointers(rows)) {
      if (Number(pointer.fleetRevision) !== reached + 1) break;
      reached += 1;
      newest.set(pointer.member, pointer);
    }
    if (reached === fleetRevision) return undefined;
    return { fleetRevision: reached, pointers: [...newest.values()] };
  }

  /**
   * Reads every member's pointer. Only revisions up to `head`, which was read before, are certain to
   * be covered. A lagging replica may return less, so the newest pointer found is a bound as well.
   */
  private async scanMembers(head: number, signal: AbortSignal): Promise<IPointerScan> {
    const pointers: MemberPointer[] = [];
    let after: string | undefined;
    for (;;) {
      const rows = await this.platform.table.scan(
        { prefix: MEMBER_PREFIX, limit: SCAN_LIMIT, ...(after === undefined ? {} : { after }) },
        signal,
      );
      pointers.push(...decodePointers(rows));
      after = rows.at(-1)?.key;
      if (rows.length < SCAN_LIMIT) break;
    }
    const newest = Math.max(0, ...pointers.map((pointer) => Number(pointer.fleetRevision)));
    return { fleetRevision: Math.min(head, newest), pointers };
  }

  /**
   * Fetches the configurations of several members. A configuration that can't be read limits the
   * snapshot's revision but not the other members' configurations: one member's missing or corrupt
   * object must not block the changes of all others.
   */
  private async fetchConfigs(
    pointers: readonly MemberPointer[],
    fleetRevision: number,
    signal: AbortSignal,
  ): Promise<IConfigSnapshot> {
    const members: MemberConfig[] = [];
    let reached = fleetRevision;
    for (let index = 0; index < pointers.length; index += FETCH_CONCURRENCY) {
      const group = pointers.slice(index, index + FETCH_CONCURRENCY);
      const results = await Promise.allSettled(
        group.map((pointer) => this.fetchConfig(pointer, signal)),
      );
      results.forEach((result, offset) => {
        if (result.status === 'fulfilled') members.push(result.value);
        else reached = Math.min(reached, Number(group[offset]?.fleetRevision ?? 1) - 1);
      });
    }
    return { fleetRevision: reached, members };
  }

  private async fetchConfig(pointer: MemberPointer, signal: AbortSignal): Promise<MemberConfig> {
    const bytes = await this.platform.objects.get(pointer.objectKey, signal);
    if (bytes === undefined) {
      throw new PlatformError(PlatformFailure.Refused, `object ${pointer.objectKey} is missing`);
    }
    return create(MemberConfigSchema, {
      member: pointer.member,
      memberRevision: pointer.memberRevision,
      fleetRevision: pointer.fleetRevision,
      intent: fromBinary(IntentSchema, bytes),
      planId: pointer.planId,
      acceptedAtMs: pointer.acceptedAtMs,
    });
  }
}

interface IPointerScan {
  readonly fleetRevision: number;
  readonly pointers: readonly MemberPointer[];
}

function decodePointers(rows: readonly ITableRow[]): readonly MemberPointer[] {
  return rows.flatMap((row) => decodePointer(row) ?? []);
}
