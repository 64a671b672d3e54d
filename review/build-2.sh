#!/usr/bin/env bash
# Builds the programs of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in channels forgotten smuggled forged bodies; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/$name.cpp" \
    -o "target/review-2/$name"
done
