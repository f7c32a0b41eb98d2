#!/usr/bin/env bash
# An order that has run is answered 503, a promise that it has not.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
if [[ ! -f target/samphirechute.jar || ! -f target/review-2/Kit.class ]]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
# Processes that outlive the program that started them, as when it is killed, are ended by their identifiers.
PIDS="$(mktemp)"
export PIDS SCRIPT_PID="$$"
clean_up() {
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$PIDS"
    rm -f "$PIDS"
}
timeout -k 5 105 java -Xmx256m -cp target/review-2 GreyRefusal review/8/record.txt &
run=$!
trap 'kill "$run" 2>/dev/null; wait "$run" 2>/dev/null; clean_up; exit 2' TERM INT HUP
wait "$run"
result=$?
clean_up
case $result in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
esac
