/** A home on a manual clock, with fakes for its dependencies. */
import { InvariantRegistry, ManualClock, SeededRandom } from '@parsleymux/base';
import type { TargetObserver } from '../../detection/common/targetObserver.js';
import { PassThroughGuard } from '../../guard/common/passThroughGuard.js';
import type { IHomeOptions } from '../../home/common/homeOptions.js';
import { LocalHomeService } from '../../home/common/localHomeService.js';
import { TableEjectionLedger } from '../../ledger/common/tableEjectionLedger.js';
import type { Respond } from './builders.js';
import { buildResponse, buildService, FakeConfigService, FakeTransport } from './builders.js';
import { FakeTable } from './fakeTable.js';

/** Options of {@link createHomeFixture}. */
export interface IHomeFixtureOptions extends Partial<Pick<IHomeOptions, 'guard' | 'maxInFlight'>> {
  readonly observer?: TargetObserver;
}

/** Builds the home of one service of `count` targets. */
export function createHomeFixture(
  count: number,
  respond: Respond,
  service: Parameters<typeof buildService>[1] = {},
  options: IHomeFixtureOptions = {},
) {
  const clock = new ManualClock({ startMs: 1_000_000 });
  const invariants = new InvariantRegistry();
  const configService = new FakeConfigService([buildService(count, service)]);
  const transport = new FakeTransport(respond);
  const table = new FakeTable();
  const standings: string[] = [];
  const home = new LocalHomeService({
    configService,
    clock,
    random: new SeededRandom(1),
    transport,
    guard: new PassThroughGuard(),
    ledger: new TableEjectionLedger({ table, clock, invariants, node: 'a' }),
    invariants,
    onHealthStatusChange: (change) => standings.push(`${change.target} ${change.standing}`),
    ...options,
  });
  const respondAfter = (ms: number): Respond => {
    return async (_request, sendOptions) => {
      sendOptions.onDispatch?.();
      await clock.sleep(ms, sendOptions.signal);
      return buildResponse({ latencyMs: ms });
    };
  };
  return { clock, invariants, configService, transport, table, standings, home, respondAfter };
}
