import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import type { IRoutedRequest, ITargetRequest, ITargetResponse } from '@parsleymux/routing';
import { TargetTransport } from '@parsleymux/routing';
import { RouteSchema } from '@parsleymux/schema';
import { LookUpResult } from './outcomeLookUp.js';
import { TargetOutcomeLookUp } from './targetOutcomeLookUp.js';

class FakeTransport extends TargetTransport {
  readonly paths: string[] = [];

  constructor(private readonly responses: Readonly<Record<string, Partial<ITargetResponse>>>) {
    super();
  }

  override send(request: ITargetRequest): Promise<ITargetResponse> {
    this.paths.push(request.path);
    const response = this.responses[request.target];
    if (response === undefined) return Promise.reject(new Error('no response'));
    const body = Buffer.from('booked');
    const defaults = {
      status: 200,
      headers: [],
      body,
      notRun: false,
      draining: false,
      latencyMs: 1,
    };
    return Promise.resolve({ ...defaults, ...response });
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
  responses: Readonly<Record<string, Partial<ITargetResponse>>>,
  targets: readonly string[] = ['x', 'y', 'z'],
) {
  const transport = new FakeTransport(responses);
  const outcomeLookUp = new TargetOutcomeLookUp({ transport, getTargets: () => targets });
  const route = create(RouteSchema, { lookUpPath: '/jobs/{key}', service: 'booking' });
  const request = { member: 'north', route, idempotencyKey: 'a/b' } as unknown as IRoutedRequest;
  const { result } = await outcomeLookUp.lookUp(request, new AbortController().signal);
  return { result, paths: transport.paths };
}

test('the key ran if one target executed it, whatever the others report', async () => {
  const lookUpResult = await lookUp({ x: { status: 404 }, z: { status: 200 } });
  assert.deepEqual(lookUpResult, { result: LookUpResult.Ran, paths: Array(3).fill('/jobs/a%2Fb') });
});

test('the key did not run only if every target reports so', async () => {
  const notFound = { status: 404 };
  assert.equal(
    (await lookUp({ x: notFound, y: notFound, z: notFound })).result,
    LookUpResult.NotRun,
  );
  assert.equal(
    (await lookUp({ x: notFound, y: notFound })).result,
    LookUpResult.NoResponse,
    'one does not respond',
  );
  assert.equal(
    (await lookUp({ x: notFound, y: notFound, z: { status: 500 } })).result,
    LookUpResult.NoResponse,
  );
  const shed = { status: 404, notRun: true };
  assert.equal(
    (await lookUp({ x: notFound, y: notFound, z: shed })).result,
    LookUpResult.NoResponse,
    'one sheds',
  );
  assert.equal((await lookUp({}, [])).result, LookUpResult.NoResponse, 'no targets');
});
