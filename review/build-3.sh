#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 14 and of trial-3/ start,
# into review/build-3/. Needs only a C++20 compiler; run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-3
build()
{
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$1" -o "build-3/$2"
}
for number in 11 12 13 14; do
  build "$number/case.cpp" "case$number"
done
build trial-3/case.cpp trial
