#!/usr/bin/env node
import { runParsleyctl } from '../dist/main.js';

process.exitCode = await runParsleyctl(process.argv.slice(2));
