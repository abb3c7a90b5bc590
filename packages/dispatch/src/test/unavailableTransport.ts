/** A transport for tests in which no tables are fetched. */
import { TableTransport } from '../directory/common/tableTransport.js';

/** Rejects all requests. */
export class UnavailableTransport extends TableTransport {
  override requestTable(): Promise<Uint8Array> {
    return Promise.reject(new Error('no peer serves tables'));
  }
}
