#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/. They need a C++20 compiler
# and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in pipeline poison stops; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/$name" "review/rig-2/$name.cpp"
done
