/** Transfers of tables between nodes. */
import type { IKnownCopy } from './tableEncoder.js';

/** A request for a table of another node. */
export interface ITableRequest {
  readonly table: string;
  /** What the requesting node has of it. */
  readonly known: IKnownCopy;
}

/** Requests tables of other nodes. */
export abstract class TableTransport {
  /**
   * Requests a table from the node with this state address, and resolves with the encoded response. Rejects
   * if the node doesn't have the table or the signal aborts first.
   */
  abstract requestTable(
    stateAddress: string,
    request: ITableRequest,
    signal: AbortSignal,
  ): Promise<Uint8Array>;
}
