#!/usr/bin/env bash
# Plays the case once: 1 the rule was broken, 0 it held, 2 it could not run. Writes record.txt.
cd "$(dirname "$0")"
[ -x ../bin/harness ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../bin/harness lost-leave "$PWD"
