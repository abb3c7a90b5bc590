/** The platform's three services together, as components take them. */
import type { ObjectStore } from '../../objects/common/objectStore.js';
import type { TableService } from '../../table/common/tableService.js';
import type { VmList } from '../../vmList/common/vmList.js';

export interface IPlatform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmList;
}
