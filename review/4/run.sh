#!/usr/bin/env bash
# A report of an instance is carried out late, after the instance has reported
# that it leaves.
# TROUBLE=0 leaves the disruption out. Exit: 0 the rule held, 1 broken, 2 the
# case could not run. The program starts target/bin/cranberrywing-gateway, the
# command of the deploy file, once a machine, and ends all that it started.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/late_write ] && [ -x target/bin/cranberrywing-gateway ] || exit 2
timeout -k 2 110 target/review/late_write review/4/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
