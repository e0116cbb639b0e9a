#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into
# review/build-3/. Needs only a C++20 compiler; run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-3
for number in 11 12 13 14 15; do
  if [ -f "$number/case.cpp" ]; then
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$number/case.cpp" \
      -o "build-3/case$number"
  fi
done
