#!/usr/bin/env node
import { runMain } from '../dist/index.js';

await runMain(process.argv.slice(2));
