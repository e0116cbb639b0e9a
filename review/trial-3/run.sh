#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
program=review/build-3/trial
if [ ! -x "$program" ] || [ ! -x target/bin/cranberrywing-gateway ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
TROUBLE=${TROUBLE:-1} timeout 118 "$program" review/trial-3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
