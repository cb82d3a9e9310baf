#!/bin/sh
# After a kill of all daemons, many of them own the bucket of one tenant.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standin-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$program" owners review/10/record.txt
