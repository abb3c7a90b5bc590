/** The platform's services, bundled for components that need more than one. */
import type { ObjectStore } from '../../objects/common/objectStore.js';
import type { TableService } from '../../table/common/tableService.js';
import type { VmList } from '../../vmList/common/vmList.js';

/** The transactional table, the object store and the VM list. */
export interface IPlatform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly vms: VmList;
}
