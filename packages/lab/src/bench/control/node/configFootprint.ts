/** Encoded size, heap use and decoding time of configurations, measured in this process. */
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { IFleetConfig } from '@parsleymux/config';
import { RouteTable } from '@parsleymux/config';
import type { MemberConfig } from '@parsleymux/schema';
import { MemberConfigSchema } from '@parsleymux/schema';
import { create } from '@bufbuild/protobuf';
import type { IBenchTable } from '../../common/bench.js';
import { formatNumber } from '../../common/bench.js';
import type { IFleetShape } from '../common/fleetShape.js';
import { makeMemberIntent } from '../common/fleetShape.js';

const BYTES_PER_MB = 1_000_000;

/** Sizes up to the one planned for in two years. The last one treats each customer as a member. */
export const FOOTPRINT_SHAPES: readonly IFleetShape[] = [
  { members: 2, services: 98, targets: 2600, routes: 1200 },
  { members: 2, services: 245, targets: 6500, routes: 3000 },
  { members: 2, services: 490, targets: 13_000, routes: 6000 },
  { members: 2, services: 980, targets: 26_000, routes: 12_000 },
  { members: 20, services: 980, targets: 26_000, routes: 12_000 },
  { members: 200, services: 980, targets: 26_000, routes: 12_000 },
  { members: 980, services: 980, targets: 26_000, routes: 12_000 },
  { members: 180_000, services: 980, targets: 26_000, routes: 12_000 },
];

/**
 * Measures each shape. Memory cells are 0 unless Node runs with `--expose-gc`.
 *
 * @example
 * const table = measureFootprints(FOOTPRINT_SHAPES);
 */
export function measureFootprints(shapes: readonly IFleetShape[]): IBenchTable {
  return {
    title: 'One node’s copy of the configuration',
    columns: [
      'members',
      'services',
      'targets',
      'routes',
      'encoded MB',
      'largest member KB',
      'decode ms',
      'heap MB',
      'route table ms',
      'route table heap MB',
    ],
    rows: shapes.map((shape) => [
      shape.members,
      shape.services,
      shape.targets,
      shape.routes,
      ...measureFootprint(shape),
    ]),
  };
}

function measureFootprint(shape: IFleetShape): readonly number[] {
  const encoded = encodeMembers(shape);
  const before = readHeap();
  const decodeStart = performance.now();
  const config = decodeMembers(encoded);
  const decodeMs = performance.now() - decodeStart;
  const afterDecode = readHeap();
  const tableStart = performance.now();
  const table = new RouteTable(config);
  const tableMs = performance.now() - tableStart;
  const afterTable = readHeap();
  table.match('host-0.example', '/', 'GET');
  const sizes = encoded.map((bytes) => bytes.length);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return [
    formatNumber(total / BYTES_PER_MB),
    formatNumber(sizes.reduce((largest, size) => Math.max(largest, size), 0) / 1000),
    formatNumber(decodeMs),
    formatNumber((afterDecode - before) / BYTES_PER_MB),
    formatNumber(tableMs),
    formatNumber((afterTable - afterDecode) / BYTES_PER_MB),
  ];
}

function encodeMembers(shape: IFleetShape): readonly Uint8Array[] {
  return Array.from({ length: shape.members }, (_, index) => {
    const intent = makeMemberIntent(shape, index, '');
    const config = create(MemberConfigSchema, {
      member: intent.member,
      memberRevision: 1n,
      intent,
    });
    return toBinary(MemberConfigSchema, config);
  });
}

function decodeMembers(encoded: readonly Uint8Array[]): IFleetConfig {
  const members = new Map<string, MemberConfig>();
  for (const bytes of encoded) {
    const config = fromBinary(MemberConfigSchema, bytes);
    members.set(config.member, config);
  }
  return { fleetRevision: 1, members };
}

function readHeap(): number {
  const { gc } = globalThis as { readonly gc?: () => void };
  if (gc === undefined) return 0;
  gc();
  return process.memoryUsage().heapUsed;
}
