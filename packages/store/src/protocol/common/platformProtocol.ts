/**
 * Paths and bodies of the platform's HTTP interface, JSON unless stated otherwise:
 *
 * - `POST /table/read` {@link IReadBody} → {@link IRowsBody}
 * - `POST /table/scan` IScanOptions → {@link IRowsBody}
 * - `POST /table/transact` ITableTransaction → ITransactionResult
 * - `GET|PUT /objects/KEY` raw bytes, 404 when absent; `GET /objects?prefix=P` → {@link IKeysBody}
 * - `GET /vms` → {@link IVmsBody}
 *
 * Responses may be compressed by gzip when the request accepts it.
 *
 * 503 means that the request was refused and had no effect. Any other failure leaves the effect of
 * a write unknown.
 */
import type { ITableRow } from '../../table/common/tableService.js';
import type { IVm } from '../../vmList/common/vmList.js';

/** Paths below the platform's base URL. */
export const PlatformPath = {
  Read: '/table/read',
  Scan: '/table/scan',
  Transact: '/table/transact',
  Objects: '/objects',
  Vms: '/vms',
} as const;

/** Keys of the rows to read. */
export interface IReadBody {
  readonly keys: readonly string[];
}

/** Rows that were read; absent ones are omitted. */
export interface IRowsBody {
  readonly rows: readonly ITableRow[];
}

/** Keys of objects, sorted. */
export interface IKeysBody {
  readonly keys: readonly string[];
}

/** VMs of the list. */
export interface IVmsBody {
  readonly vms: readonly IVm[];
}
