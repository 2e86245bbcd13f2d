#!/usr/bin/env bash
# Plays case 10 and writes record.txt beside this script. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves out the disruption. The build of the deploy file and review/build-2.sh come first.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/review-2 ] && [ -x ../../bin/starlingvalve ] || exit 2
exec ../../bin/review-2 agent . ../..
