'use strict';

/**
 * Runs the bundled program from the code cache that the build made beside it. Without a valid cache, V8
 * compiles the program, which only takes longer.
 */
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const process = require('node:process');
const v8 = require('node:v8');
const { Script } = require('node:vm');

const PROGRAM = join(module.path, 'parsleymux-program.cjs');
const CACHE = join(module.path, 'parsleymux-program.cache');
/**
 * V8 rejects code that was compiled under other flags, including Node's own modules. The limits of the heap
 * count as flags although they don't affect code, and the heap has taken them over by now.
 */
const HEAP_LIMIT_FLAGS = ['--max-old-space-size=0', '--max-semi-space-size=0'];

function loadProgram() {
  for (const flag of HEAP_LIMIT_FLAGS) v8.setFlagsFromString(flag);
  const script = new Script(wrapSource(readFileSync(PROGRAM, 'utf8')), {
    filename: PROGRAM,
    cachedData: readCache(),
  });
  if (script.cachedDataRejected !== false) {
    process.stderr.write(`${JSON.stringify({ level: 'warn', message: 'code cache not used' })}\n`);
  }
  return script;
}

function wrapSource(source) {
  return `(function (require, module, exports) {${source}\n})`;
}

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    return undefined;
  }
}

const script = loadProgram();
script.runInThisContext()(require, module, module.exports);
// The build passes a listener: code that ran is compiled by now, and belongs into the cache.
process.emit('parsleymux:loaded', script);
