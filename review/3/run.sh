#!/bin/sh
# Plays the case; claim.txt says what it shows. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-play ] && [ -x bin/starlingvalve ] || { echo "build first: the line of deploy/balancer.toml, then review/build.sh" >&2; exit 2; }
exec bin/review-play slowlist review/3
