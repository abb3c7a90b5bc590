/** `node packages/lab/dist/trace/node/main.js DIRECTORY [SEED]`: writes all built-in traces. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { formatTrace } from '../common/traceFormat.js';
import { buildTrace, listTraceNames } from '../common/traceGenerator.js';

const DEFAULT_DIRECTORY = 'out/traces';

const [directory = DEFAULT_DIRECTORY, seed = '1'] = process.argv.slice(2);
mkdirSync(directory, { recursive: true });
for (const name of listTraceNames()) {
  writeFileSync(join(directory, `${name}.jsonl`), formatTrace(buildTrace(name, Number(seed))));
}
