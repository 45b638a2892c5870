#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Exit status: 1 broken, 0 held, 2 could not run.
# Before it: the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/FloodAtEnd.class ] && [ -f target/brooklock.jar ] || { echo "not built"; exit 2; }
exec java -Xss512k -cp target/review-2 FloodAtEnd review/9
