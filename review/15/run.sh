#!/usr/bin/env bash
# Case 15, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/samphirechute.jar and the output of review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[[ -f target/samphirechute.jar && -f target/review-3/LostForGood.class ]] || exit 2
exec java -cp target/review-3 LostForGood review/15
