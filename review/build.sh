#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. They need what the
# deploy file lists and nothing more.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/rig/*.cpp; do
  program=target/review/$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -o "$program" "$source" \
    -pthread -lboost_json -lboost_container &
  programs+=("$!")
done
for program in "${programs[@]}"; do
  wait "$program"
done
