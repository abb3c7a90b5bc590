#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
node run.mjs &
driver=$!
trap 'kill -TERM "$driver"' INT TERM HUP
wait "$driver"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
