#!/bin/bash
# Plays this case; needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PROCESSES
PROCESSES=$(mktemp) || exit 2
timeout -k 2 115 target/review-3/world other-kind review/9
code=$?
# Ends what is left if the program itself was ended early.
while read -r process; do
    kill -9 "$process" 2>/dev/null
done <"$PROCESSES"
rm -f "$PROCESSES"
[ "$code" -le 1 ] || code=2
exit "$code"
