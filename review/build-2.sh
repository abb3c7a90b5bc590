#!/bin/sh
# Checks what the scripts of cases 4 to 8 start. Their stand-ins are plain modules of Node.js in rig-2, so that
# nothing has to be compiled; the node itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/rig-2/rig.mjs review/4/case.mjs review/5/case.mjs review/6/case.mjs review/7/case.mjs review/8/case.mjs; do
  node --check "$file"
done
test -f target/parsleymux-platform.cjs || echo "target/parsleymux-platform.cjs is missing: run the build of the deploy file first"
