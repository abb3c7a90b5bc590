'use strict';

/** Writes the code cache of the program beside it: `node makeCodeCache.cjs DIRECTORY`. */
const { writeFileSync } = require('node:fs');
const { join, resolve } = require('node:path');
const process = require('node:process');

const [, , directory] = process.argv;
const target = resolve(directory);
// Without settings, the loaded program waits for them and opens nothing.
process.argv[2] = join(target, 'no-settings.json');
process.once('parsleymux:loaded', (script) => {
  writeFileSync(join(target, 'parsleymux-program.cache'), script.createCachedData());
  process.exit(0);
});
require(join(target, 'parsleymux-platform.cjs'));
