import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import type { IRoutedRequest, ITargetResponse, ITargetRequest } from '@parsleymux/routing';
import { TargetTransport } from '@parsleymux/routing';
import { RouteSchema } from '@parsleymux/schema';
import { LookUpResult } from './outcomeLookUp.js';
import { TargetOutcomeLookUp } from './targetOutcomeLookUp.js';

class FakeTransport extends TargetTransport {
  readonly paths: string[] = [];

  constructor(private readonly answers: Readonly<Record<string, Partial<ITargetResponse>>>) {
    super();
  }

  override send(request: ITargetRequest): Promise<ITargetResponse> {
    this.paths.push(request.path);
    const answer = this.answers[request.target];
    if (answer === undefined) return Promise.reject(new Error('silent'));
    const body = Buffer.from('booked');
    const whole = { status: 200, headers: [], body, notRun: false, draining: false, latencyMs: 1 };
    return Promise.resolve({ ...whole, ...answer });
  }

  override retireConnections(): void {
    return;
  }

  override hasIdleConnection(): boolean {
    return false;
  }

  override getConnectionCount(): number {
    return 0;
  }
}

async function lookUp(
  answers: Readonly<Record<string, Partial<ITargetResponse>>>,
  targets: readonly string[] = ['x', 'y', 'z'],
) {
  const transport = new FakeTransport(answers);
  const finder = new TargetOutcomeLookUp({ transport, getTargets: () => targets });
  const route = create(RouteSchema, { lookUpPath: '/jobs/{key}', service: 'booking' });
  const request = { member: 'north', route, idempotencyKey: 'a/b' } as unknown as IRoutedRequest;
  const { result } = await finder.lookUp(request, new AbortController().signal);
  return { result, paths: transport.paths };
}

test('one target that executed settles it, whatever the others say', async () => {
  const said = await lookUp({ x: { status: 404 }, z: { status: 200 } });
  assert.deepEqual(said, { result: LookUpResult.Ran, paths: Array(3).fill('/jobs/a%2Fb') });
});

test('"never ran" takes the word of every target', async () => {
  const no = { status: 404 };
  assert.equal((await lookUp({ x: no, y: no, z: no })).result, LookUpResult.NotRun);
  assert.equal((await lookUp({ x: no, y: no })).result, LookUpResult.Silent, 'one is silent');
  assert.equal((await lookUp({ x: no, y: no, z: { status: 500 } })).result, LookUpResult.Silent);
  const shed = { status: 404, notRun: true };
  assert.equal((await lookUp({ x: no, y: no, z: shed })).result, LookUpResult.Silent, 'one sheds');
  assert.equal((await lookUp({}, [])).result, LookUpResult.Silent, 'no targets');
});
