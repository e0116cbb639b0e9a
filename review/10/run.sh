#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
set -u
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.."
trouble=${TROUBLE:-1}
if [ ! -x target/review-2/stops ] || [ ! -x target/bin/cranberrywing-gateway ]; then
  echo "not built"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
: >"$case/record.txt"
timeout -k 1 118 target/review-2/stops "$folder" "$trouble"
result=$?
cp "$folder/record.txt" "$case/record.txt"
[ "$result" -le 2 ] || result=2
exit "$result"
