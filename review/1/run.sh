#!/bin/sh
# A scheduled job falls behind during an outage of the store, and its pool never runs anything again.
# Exit codes: 1 rule broken, 0 held, 2 not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scenario ] && [ -x target/release/primroseroute ] || exit 2
exec target/review/scenario schedule review/1
