#!/bin/bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/harness case late review/9
