/** Transfers of tables between nodes. */

/** Requests tables of other nodes. */
export abstract class TableTransport {
  /**
   * Requests a table from the node with this state address, and resolves with the encoded response. Rejects
   * if the node doesn't have the table or the signal aborts first.
   */
  abstract requestTable(
    stateAddress: string,
    table: string,
    signal: AbortSignal,
  ): Promise<Uint8Array>;
}
