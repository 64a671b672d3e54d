#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
record=review/7/record.txt  # what was sent, answered and run
program=target/review-2/forgotten
if [[ ! -x $program || ! -x target/dotterelshiftd ]]; then
  echo "run the deploy file's build and review/build-2.sh first" >&2
  exit 2
fi
timeout --signal=KILL 110 "$program" "$record"
code=$?
[[ $code -le 1 ]] || code=2
exit $code
