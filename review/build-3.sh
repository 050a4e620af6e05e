#!/usr/bin/env bash
# Builds the stand-ins of review/11 and up into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rm -f target/review-3/*.o
for source in review/stand-in-3/*.cc; do
  c++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$source" \
    -o "target/review-3/$(basename "$source" .cc).o" &
done
for job in $(jobs -p); do wait "$job"; done
c++ -pthread target/review-3/*.o -o target/review-3/review-driver
