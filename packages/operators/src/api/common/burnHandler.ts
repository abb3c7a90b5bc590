/** Serves the burn report. */
import { BurnResponseSchema } from '@parsleymux/schema';
import type { AccessControl } from '../../access/common/accessControl.js';
import type { BurnReader } from '../../burn/common/burnReader.js';
import type { IAdminResponse, IAdminRequest, IAdminRoute } from './adminRoute.js';
import { AdminHandler, createResponse } from './adminRoute.js';

/** Options of a {@link BurnHandler}. */
export interface IBurnHandlerOptions {
  readonly burn: BurnReader;
  readonly access: AccessControl;
}

/** Handles `/v1/burn`. */
export class BurnHandler extends AdminHandler {
  constructor(private readonly options: IBurnHandlerOptions) {
    super();
  }

  override listRoutes(): readonly IAdminRoute[] {
    return [
      {
        method: 'GET',
        path: '/v1/burn',
        action: 'burn.show',
        handle: (request) => this.getReport(request),
      },
    ];
  }

  private async getReport(request: IAdminRequest): Promise<IAdminResponse> {
    const { operator, signal } = request;
    const member = request.query.get('member') ?? operator.member;
    await this.options.access.checkMember(operator, member, 'burn.show', signal);
    return createResponse(BurnResponseSchema, await this.options.burn.getReport(member, signal));
  }
}
