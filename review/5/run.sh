#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -f target/samphirechute.jar || ! -f target/review/CrashingStream.class ]]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
java -Xmx128m -cp target/review CrashingStream review/5 &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' HUP INT TERM
wait "$pid"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
