#!/bin/bash
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -f "$here/../.out/ColdCache.class" ] && [ -f "$here/../../target/brooklock.jar" ] || { echo "build first"; exit 2; }
timeout -k 5 110 java -Xmx512m -Droot="$here/../.." -cp "$here/../.out" ColdCache "$here/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
