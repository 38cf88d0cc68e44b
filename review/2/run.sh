#!/bin/sh
# Orders to move machines are held up by a partition of their sender, and carried out after its successor's.
# Exit codes: 1 rule broken, 0 held, 2 not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scenario ] && [ -x target/release/primroseroute ] || exit 2
exec target/review/scenario held-up review/2
