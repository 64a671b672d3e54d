#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in replace prepaid drain versions poison founding; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$case" "review/$case.cpp" &
done
for job in $(jobs -p); do wait "$job"; done
