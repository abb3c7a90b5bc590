/** Transfers of tables between nodes. */
import type { IKnownCopy } from './tableEncoder.js';

/** State of a table that a peer announced. */
export interface IAnnouncedState {
  readonly era: number;
  readonly version: number;
}

/** A request for a table of another node. */
export interface ITableRequest {
  readonly table: string;
  /** What the requesting node has of it. */
  readonly known: IKnownCopy;
  /** State that the response must have at least; the other node may be receiving it at the moment. */
  readonly minimum?: IAnnouncedState | undefined;
  /** State address of the requesting node, to which others may be redirected. Default: none are. */
  readonly requester?: string | undefined;
  /** Whether the other node has to send the table itself instead of redirecting. Default: false. */
  readonly isDirect?: boolean | undefined;
}

/** Response to a request for a table: its encoded content, or the state address of a node to ask instead. */
export type TableReply =
  | { readonly kind: 'table'; readonly bytes: Uint8Array }
  | { readonly kind: 'redirect'; readonly stateAddress: string };

/** Options of one request. */
export interface ITransferOptions {
  readonly signal: AbortSignal;
  /** Called when the other node begins to respond, and for each part of the response. */
  readonly onDidProgress: () => void;
}

/** Requests tables of other nodes. */
export abstract class TableTransport {
  /**
   * Requests a table from the node with this state address. Rejects if the node doesn't have the table or
   * the signal aborts first.
   */
  abstract requestTable(
    stateAddress: string,
    request: ITableRequest,
    options: ITransferOptions,
  ): Promise<TableReply>;
}
