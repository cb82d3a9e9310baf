#!/bin/sh
# Requests that a daemon has read end without an answer when it exits after SIGTERM.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standin-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$program" shutdown review/9/record.txt
