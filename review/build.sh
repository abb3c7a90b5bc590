#!/usr/bin/env bash
# The stand-ins and drivers need no build: they are checked for syntax, and use modules of Node.js alone.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
