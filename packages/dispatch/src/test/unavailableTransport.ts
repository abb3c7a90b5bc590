/** A transport for tests in which no tables are fetched. */
import type { TableReply } from '../directory/common/tableTransport.js';
import { TableTransport } from '../directory/common/tableTransport.js';

/** Rejects all requests. */
export class UnavailableTransport extends TableTransport {
  override requestTable(): Promise<TableReply> {
    return Promise.reject(new Error('no peer serves tables'));
  }
}
